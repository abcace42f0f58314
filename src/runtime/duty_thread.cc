#include "buckthornmux/detail/runtime/duty_thread.h"

#include <atomic>
#include <caf/all.hpp>
#include <future>

namespace buckthornmux::runtime {
namespace {

using WakeAtom = caf::atom_constant<caf::atom("wake")>;
using TimerAtom = caf::atom_constant<caf::atom("timer")>;

Time ToMillis(caf::actor_clock::time_point time) {
  return std::chrono::time_point_cast<Millis>(time);
}

}  // namespace

struct ActorRuntime::Impl {
  caf::actor_system_config config;
  caf::actor_system system{config};
};

ActorRuntime::ActorRuntime() : m_impl(std::make_unique<Impl>()) {}
ActorRuntime::~ActorRuntime() = default;

Time ActorRuntime::Now() const {
  return ToMillis(m_impl->system.clock().now());
}

struct DutyThread::Impl {
  Work work;
  caf::actor actor;
  std::atomic<bool> signalled = false;
  std::promise<void> ended;
  Time timer_at = Time::max();  ///< Of the duty's thread only.
  bool stopped = false;         ///< Of the owner's thread only.

  void Step(caf::event_based_actor* self) {
    const auto now = self->clock().now();
    const Time next = work(ToMillis(now));
    if (next == Time::max() || next >= timer_at) {
      return;  // A timer that fires early enough is on its way already.
    }
    timer_at = next;
    const auto delay = std::max(next - ToMillis(now), Millis(1));
    self->delayed_send(self, delay, TimerAtom::value);
  }
};

DutyThread::DutyThread(ActorRuntime& runtime, Work work)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->work = std::move(work);
  m_impl->actor = runtime.m_impl->system.spawn<caf::detached>(
      [impl = m_impl](caf::event_based_actor* self) -> caf::behavior {
        self->attach_functor(
            [impl](const caf::error&) { impl->ended.set_value(); });
        return {
            [impl, self](WakeAtom) {
              impl->signalled = false;
              impl->Step(self);
            },
            [impl, self](TimerAtom) {
              impl->timer_at = Time::max();
              impl->Step(self);
            },
        };
      });
}

DutyThread::~DutyThread() { Stop(); }

void DutyThread::Wake() {
  if (!m_impl->signalled.exchange(true)) {
    caf::anon_send(m_impl->actor, WakeAtom::value);
  }
}

void DutyThread::Stop() {
  if (m_impl->stopped) {
    return;
  }
  m_impl->stopped = true;
  auto ended = m_impl->ended.get_future();
  caf::anon_send_exit(m_impl->actor, caf::exit_reason::user_shutdown);
  ended.wait();
  m_impl->actor = nullptr;
}

}  // namespace buckthornmux::runtime
