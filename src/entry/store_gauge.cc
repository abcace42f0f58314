#include "buckthornmux/detail/entry/store_gauge.h"

#include <algorithm>
#include <utility>

namespace buckthornmux::entry {
namespace {

/// A store sixty times slower than usual still answers within this.
constexpr Millis kSlowAnswer{350};
/// Answers of a slow store vary by about a third.
constexpr int kAnswerSpread = 2;
/// One refusal may be chance; two of them this far apart are not.
constexpr Millis kRefusedFor{100};

/// Takes in what became of a call.
void NoteEnd(StoreGauge& gauge, Time began, Time now, bool good) {
  if (!good && began > gauge.answered) {
    gauge.first_bad = std::min(gauge.first_bad.value_or(began), began);
    gauge.last_bad = std::max(gauge.last_bad, began);
  } else if (good && began > gauge.answered) {
    gauge.answered = began;
    gauge.answer_time = now - began;
    if (gauge.first_bad && gauge.last_bad <= began) {
      gauge.first_bad.reset();
    } else if (gauge.first_bad) {
      gauge.first_bad = gauge.last_bad;
    }
  }
}

/// Counts the end of a call. While it is under way it tells nothing: a long
/// answer takes its time on a slow link.
template <class T>
store::Reply<T> CountedAtEnd(StoreGauge& gauge,
                             const std::function<Time()>& clock,
                             store::Reply<T> reply) {
  return [&gauge, clock, began = clock(),
          reply = std::move(reply)](Outcome<T> outcome) {
    // Its length tells how much there was to read; others tell of the store.
    const Millis answer_time = gauge.answer_time;
    NoteEnd(gauge, began, clock(), !std::holds_alternative<Error>(outcome));
    gauge.answer_time = answer_time;
    reply(std::move(outcome));
  };
}

/// Counts one kind of call; `good` tells from its outcome whether it was
/// served.
template <class T>
store::Reply<T> Counted(StoreGauge& gauge, const std::function<Time()>& clock,
                        store::Reply<T> reply) {
  const Time began = clock();
  CallBegan(gauge, began);
  return [&gauge, clock, began, reply = std::move(reply)](Outcome<T> outcome) {
    CallEnded(gauge, began, clock(), !std::holds_alternative<Error>(outcome));
    reply(std::move(outcome));
  };
}

}  // namespace

void CallBegan(StoreGauge& gauge, Time began) { gauge.open.insert(began); }

Millis LongestAnswer(Millis answer_time) {
  return std::max(kSlowAnswer, answer_time * kAnswerSpread);
}

void CallEnded(StoreGauge& gauge, Time began, Time now, bool good) {
  if (const auto found = gauge.open.find(began); found != gauge.open.end()) {
    gauge.open.erase(found);
  }
  NoteEnd(gauge, began, now, good);
}

std::optional<Time> TroubleSince(const StoreGauge& gauge, Time now) {
  std::optional<Time> since;
  const auto waiting = gauge.open.upper_bound(gauge.answered);
  if (waiting != gauge.open.end() &&
      now - *waiting > LongestAnswer(gauge.answer_time)) {
    since = *waiting;
  }
  if (gauge.first_bad && gauge.last_bad - *gauge.first_bad >= kRefusedFor) {
    since = std::min(since.value_or(*gauge.first_bad), *gauge.first_bad);
  }
  return since;
}

bool ServesNow(const StoreGauge& gauge, Time now) {
  return !gauge.first_bad && !TroubleSince(gauge, now);
}

store::AsyncStore WithGauge(const store::AsyncStore& store, StoreGauge& gauge,
                            std::function<Time()> clock) {
  store::AsyncStore counted = store;
  counted.get = [&gauge, clock, call = store.get](std::string key,
                                                  const auto& reply) {
    call(std::move(key), Counted(gauge, clock, reply));
  };
  counted.list = [&gauge, clock, call = store.list](
                     std::string prefix, std::string after, const auto& reply) {
    call(std::move(prefix), std::move(after),
         CountedAtEnd(gauge, clock, reply));
  };
  counted.commit = [&gauge, clock, call = store.commit](
                       store::Transaction transaction, const auto& reply) {
    call(std::move(transaction), Counted(gauge, clock, reply));
  };
  counted.grant_lease = [&gauge, clock, call = store.grant_lease](
                            Millis ttl, const auto& reply) {
    call(ttl, Counted(gauge, clock, reply));
  };
  counted.renew_lease = [&gauge, clock, call = store.renew_lease](
                            store::LeaseId lease, const auto& reply) {
    call(lease, Counted(gauge, clock, reply));
  };
  return counted;
}

}  // namespace buckthornmux::entry
