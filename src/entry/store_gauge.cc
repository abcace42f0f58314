#include "buckthornmux/detail/entry/store_gauge.h"

#include <algorithm>
#include <utility>

namespace buckthornmux::entry {
namespace {

/// Lower bound of the time-out; a store that is sixty times slower than usual
/// still answers within it.
constexpr Millis kMinResponseTimeout{350};
/// Response times of a slow store vary by about a third.
constexpr int kResponseTimeoutFactor = 2;
/// A single failure may be a coincidence; two failures this far apart are not.
constexpr Millis kMinFailureSpan{100};

/// Records the result of a call.
void RecordResult(StoreGauge& gauge, Time began, Time now, bool succeeded) {
  if (!succeeded && began > gauge.answered) {
    gauge.first_failure = std::min(gauge.first_failure.value_or(began), began);
    gauge.last_failure = std::max(gauge.last_failure, began);
  } else if (succeeded && began > gauge.answered) {
    gauge.answered = began;
    gauge.answer_time = now - began;
    if (gauge.first_failure && gauge.last_failure <= began) {
      gauge.first_failure.reset();
    } else if (gauge.first_failure) {
      gauge.first_failure = gauge.last_failure;
    }
  }
}

/// Records only the end of a call. A call in progress is not evidence of a
/// failure, since a large response takes long on a slow link.
template <class T>
store::Reply<T> RecordedAtEnd(StoreGauge& gauge,
                              const std::function<Time()>& clock,
                              store::Reply<T> reply) {
  return [&gauge, clock, began = clock(),
          reply = std::move(reply)](Outcome<T> outcome) {
    // The duration of this call depends on the size of the response, so the
    // response time of the store is kept as measured by other calls.
    const Millis answer_time = gauge.answer_time;
    RecordResult(gauge, began, clock(),
                 !std::holds_alternative<Error>(outcome));
    gauge.answer_time = answer_time;
    reply(std::move(outcome));
  };
}

/// Records the start, end and result of a call.
template <class T>
store::Reply<T> Recorded(StoreGauge& gauge, const std::function<Time()>& clock,
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

Millis ResponseTimeout(Millis answer_time) {
  return std::max(kMinResponseTimeout, answer_time * kResponseTimeoutFactor);
}

void CallEnded(StoreGauge& gauge, Time began, Time now, bool succeeded) {
  if (const auto found = gauge.open.find(began); found != gauge.open.end()) {
    gauge.open.erase(found);
  }
  RecordResult(gauge, began, now, succeeded);
}

std::optional<Time> FailingSince(const StoreGauge& gauge, Time now) {
  std::optional<Time> since;
  const auto waiting = gauge.open.upper_bound(gauge.answered);
  if (waiting != gauge.open.end() &&
      now - *waiting > ResponseTimeout(gauge.answer_time)) {
    since = *waiting;
  }
  if (gauge.first_failure &&
      gauge.last_failure - *gauge.first_failure >= kMinFailureSpan) {
    since =
        std::min(since.value_or(*gauge.first_failure), *gauge.first_failure);
  }
  return since;
}

bool ServesNow(const StoreGauge& gauge, Time now) {
  return !gauge.first_failure && !FailingSince(gauge, now);
}

bool FailedLately(const StoreGauge& gauge, Time since) {
  return gauge.last_failure > since;
}

store::AsyncStore WithGauge(const store::AsyncStore& store, StoreGauge& gauge,
                            std::function<Time()> clock) {
  store::AsyncStore recorded = store;
  recorded.get = [&gauge, clock, call = store.get](std::string key,
                                                   const auto& reply) {
    call(std::move(key), Recorded(gauge, clock, reply));
  };
  recorded.list = [&gauge, clock, call = store.list](std::string prefix,
                                                     std::string after,
                                                     const auto& reply) {
    call(std::move(prefix), std::move(after),
         RecordedAtEnd(gauge, clock, reply));
  };
  recorded.commit = [&gauge, clock, call = store.commit](
                        store::Transaction transaction, const auto& reply) {
    call(std::move(transaction), Recorded(gauge, clock, reply));
  };
  recorded.grant_lease = [&gauge, clock, call = store.grant_lease](
                             Millis ttl, const auto& reply) {
    call(ttl, Recorded(gauge, clock, reply));
  };
  recorded.renew_lease = [&gauge, clock, call = store.renew_lease](
                             store::LeaseId lease, const auto& reply) {
    call(lease, Recorded(gauge, clock, reply));
  };
  return recorded;
}

}  // namespace buckthornmux::entry
