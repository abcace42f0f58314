/// A store of one key, enough for the configuration, whose puts fail by script.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::config {

/// What happens to one put.
enum class PutFault : std::uint8_t {
  kNone,
  kUnavailable,  ///< Refused, no effect.
  kLostRequest,  ///< No effect, but the writer can't know.
  kLostAnswer,   ///< Written, but the writer can't know.
};

/// Holds the value; hands out a Store that outlives nothing.
struct ConfigStoreFake {
  std::optional<store::Entry> entry;
  Revision last = 40;  ///< Of the whole store, which has other keys too.
  std::deque<PutFault> faults;  ///< Of the next puts.
  bool gets_fail = false;
  std::function<void()> after_put;  ///< Another operator's step.
  int puts = 0;

  Result<Revision> Put(std::string_view key, std::string_view value,
                       Revision expected) {
    ++puts;
    PutFault fault = PutFault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    if (fault == PutFault::kUnavailable) {
      return Fail(ErrorKind::kStoreUnavailable, "store away");
    }
    if (fault == PutFault::kLostRequest) {
      return Fail(ErrorKind::kStoreUnknown, "timed out");
    }
    if ((entry ? entry->revision : store::kAbsent) != expected) {
      return Fail(ErrorKind::kStoreConflict, "compare failed");
    }
    last += 3;
    entry = store::Entry{std::string(key), std::string(value), last};
    const Revision written = last;
    if (after_put) {
      std::exchange(after_put, nullptr)();
    }
    if (fault == PutFault::kLostAnswer) {
      return Fail(ErrorKind::kStoreUnknown, "timed out");
    }
    return written;
  }

  store::Store Functions() {
    store::Store functions;
    functions.get =
        [this](std::string_view) -> Result<std::optional<store::Entry>> {
      if (gets_fail) {
        return Fail(ErrorKind::kStoreUnavailable, "store away");
      }
      return entry;
    };
    functions.put = [this](std::string_view key, std::string_view value,
                           Revision expected, store::LeaseId) {
      return Put(key, value, expected);
    };
    return functions;
  }
};

}  // namespace buckthornmux::config
