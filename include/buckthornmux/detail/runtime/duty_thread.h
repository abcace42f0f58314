/// A duty's thread: a detached CAF actor that is woken by its rings and by the
/// runtime's clock. The actor carries no messages of its own; those travel
/// through bounded rings.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "buckthornmux/detail/core/ring.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::runtime {

/// @brief CAF's actor system, in-process only.
class ActorRuntime {
 public:
  ActorRuntime();
  ~ActorRuntime();  ///< Waits for every duty to stop.
  ActorRuntime(const ActorRuntime&) = delete;
  ActorRuntime& operator=(const ActorRuntime&) = delete;

  /// @brief Time of the runtime's clock, which tests pause and advance.
  [[nodiscard]] Time Now() const;

 private:
  friend class DutyThread;
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// @brief One duty's thread.
class DutyThread {
 public:
  /// Called on the duty's thread; returns when to be called again, or
  /// Time::max() for "only when woken".
  using Work = std::function<Time(Time now)>;

  /// @param runtime outlives the duty
  /// @param work the duty's step
  DutyThread(ActorRuntime& runtime, Work work);
  ~DutyThread();
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  /// @brief Has the work called soon; from any thread, many calls may be one.
  void Wake();

  /// @brief Ends the duty after its current step and waits for that.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

/// @brief A duty with one ring of messages.
/// @tparam Message what it takes
template <class Message>
class Duty {
 public:
  static constexpr std::size_t kEdgeCapacity = 8192;
  static constexpr std::size_t kCapacity = 131'072;

  /// @brief Starts the duty.
  /// @param runtime outlives the duty
  /// @param step called with all waiting messages, perhaps none; returns when
  ///   to be called again at the latest
  template <class Step>
  void Run(ActorRuntime& runtime, Step step) {
    m_thread = std::make_unique<DutyThread>(
        runtime, [this, step = std::move(step)](Time now) mutable {
          return step(m_ring.PopAll(), now);
        });
    m_thread->Wake();
  }

  /// @brief Posts one of the system's own messages.
  /// @return false where the ring is full
  bool Post(Message message) {
    const bool taken = m_ring.TryPush(std::move(message));
    Wake();
    return taken;
  }

  /// @brief Posts a request from outside.
  /// @return false where the ring is full for such: refuse with kQueueFull
  [[nodiscard]] bool PostEdge(Message message) {
    const bool taken = m_ring.TryPushExternal(std::move(message));
    Wake();
    return taken;
  }

  /// @brief Ends the duty and waits for that.
  void Stop() {
    if (m_thread) {
      m_thread->Stop();
    }
  }

 private:
  void Wake() {
    if (m_thread) {
      m_thread->Wake();
    }
  }

  BoundedRing<Message> m_ring{kEdgeCapacity, kCapacity};
  std::unique_ptr<DutyThread> m_thread;
};

}  // namespace buckthornmux::runtime
