/// Open-loop callers: requests at a rate, whatever comes back.
#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "standins/request_plan.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::standins {

/// Settings of the callers.
struct CallersOptions {
  std::vector<std::string> entries;  ///< IP:port.
  std::string key;
  std::string urgent_kind = "check-in";
  std::string patient_kind = "manifest";
  std::string prefix = "r";  ///< Of request ids; unique in each run.
  double per_second = 10;
  Millis duration{10'000};
  Millis drain{90'000};  ///< Longest wait for open requests at the end.
  std::vector<MixPart> mix;
  std::int64_t run_ms = 20;
  std::int64_t urgent_deadline_ms = 5000;
  std::int64_t patient_deadline_ms = 60'000;
  Millis call_timeout{20'000};
  int most_tries = 5;
  int duplicate_every = 20;  ///< Every n-th non-idempotent request is sent
                             ///< twice at once; 0: none.
  std::uint32_t seed = 1;
};

/// What the callers saw, in sum.
struct CallerCounts {
  std::size_t sent = 0;  ///< Requests, copies counted.
  std::size_t done = 0;
  std::size_t errors = 0;
  std::size_t pending = 0;  ///< Without an end when the wait was over.
  std::size_t accepted = 0;
  std::size_t tries = 0;
  std::vector<std::int64_t> urgent_ms;  ///< Waiting times of urgent answers.
};

/// @brief Runs the callers to their end on this thread.
/// @param log takes one line for each request, at its end
[[nodiscard]] CallerCounts RunOpenLoop(const CallersOptions& options,
                                       std::ostream& log);

}  // namespace buckthornmux::standins
