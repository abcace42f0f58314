/// Waiting times and outcomes of a load run, by Boost.Histogram.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornmux::cli {

/// Waiting times of the answered requests of one run, in milliseconds.
struct WaitSummary {
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double worst = 0;
};

/// @brief Collects the ends of requests; used by one thread at a time.
class LoadReport {
 public:
  LoadReport();
  ~LoadReport();
  LoadReport(const LoadReport&) = delete;
  LoadReport& operator=(const LoadReport&) = delete;

  /// @brief Records one request.
  /// @param outcome "ok", "accepted" or the error's name
  /// @param wait from when the request was due to its answer
  void Record(std::string_view outcome, std::chrono::microseconds wait);

  /// @brief Percentiles over all requests, within 2 %; the worst is exact.
  [[nodiscard]] WaitSummary Waits() const;

  /// @brief Count of requests by outcome.
  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
  Outcomes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::cli
