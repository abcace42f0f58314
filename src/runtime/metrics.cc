#include "buckthornmux/detail/runtime/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>

namespace buckthornmux::runtime {
namespace {

namespace bh = boost::histogram;

constexpr auto kCounters = static_cast<std::size_t>(Counter::kCount);
constexpr auto kTimings = static_cast<std::size_t>(Timing::kCount);
constexpr unsigned kBins = 140;
constexpr double kShortestMs = 0.001;
constexpr double kLongestMs = 1e7;

constexpr std::array<std::string_view, kCounters> kCounterNames = {
    "requests",       "jobs_submitted",      "jobs_answered",
    "jobs_refused",   "keys_refused",        "calls_rerouted",
    "tasks_started",  "tasks_ended",         "tasks_stopped",
    "journal_writes", "journal_records",     "store_errors",
    "ledger_writes",  "ranges_gained",       "ranges_lost",
    "peer_messages",  "rings_full",          "records_omitted",
    "calls_stale",    "requests_over_limit", "jobs_refused_late"};

constexpr auto kGauges = static_cast<std::size_t>(Gauge::kCount);
constexpr std::array<std::string_view, kGauges> kGaugeNames = {
    "occurrences_waiting", "jobs_behind",
    "steps_waiting",       "runs",
    "job_bytes",           "targets_reserved",
    "suspects_waiting",    "longest_crash_hold_ms",
    "owner_link_kbps",     "owner_busy_permille",
    "targets_evacuated",   "request_bytes",
    "interfering_pairs",   "headroom_cpu_milli",
    "idle_beside_work_ms", "target_list_age_ms",
    "unrecovered_ms",      "gangs_waiting",
    "longest_gang_wait_ms"};

constexpr std::array<std::string_view, kTimings> kTimingNames = {
    "urgent_answer_ms", "patient_accept_ms", "journal_write_ms",
    "owner_step_ms"};

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis{}));

Histogram MakeTimes() {
  return bh::make_histogram(LogAxis(kBins, kShortestMs, kLongestMs));
}

/// Upper edge of the bin that holds a quantile.
double Quantile(const Histogram& histogram, double part, double total) {
  double seen = 0;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    seen += *bin;
    if (seen >= part * total) {
      return bin.bin().upper();
    }
  }
  return 0;
}

}  // namespace

struct Metrics::Impl {
  std::array<std::atomic<std::uint64_t>, kCounters> counters{};
  std::array<std::atomic<std::uint64_t>, kGauges> gauges{};
  mutable std::mutex mutex;  ///< Guards times.
  std::array<Histogram, kTimings> times{MakeTimes(), MakeTimes(), MakeTimes(),
                                        MakeTimes()};
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(Counter counter, std::uint64_t amount) {
  m_impl->counters.at(static_cast<std::size_t>(counter)) += amount;
}

void Metrics::Set(Gauge gauge, std::uint64_t value) {
  m_impl->gauges.at(static_cast<std::size_t>(gauge)) = value;
}

void Metrics::Record(Timing timing, std::chrono::nanoseconds span) {
  const std::chrono::duration<double, std::milli> millis = span;
  const std::scoped_lock lock(m_impl->mutex);
  m_impl->times.at(static_cast<std::size_t>(timing))(millis.count());
}

std::string Metrics::Text() const {
  std::ostringstream text;
  for (std::size_t i = 0; i < kCounters; ++i) {
    text << "buckthornmux_" << kCounterNames.at(i) << ' '
         << m_impl->counters.at(i).load() << '\n';
  }
  for (std::size_t i = 0; i < kGauges; ++i) {
    text << "buckthornmux_" << kGaugeNames.at(i) << ' '
         << m_impl->gauges.at(i).load() << '\n';
  }
  const std::scoped_lock lock(m_impl->mutex);
  for (std::size_t i = 0; i < kTimings; ++i) {
    const Histogram& histogram = m_impl->times.at(i);
    const double total = bh::algorithm::sum(histogram);
    for (const double part : {0.5, 0.9, 0.99, 1.0}) {
      text << "buckthornmux_" << kTimingNames.at(i) << "{quantile=\"" << part
           << "\"} " << Quantile(histogram, part, total) << '\n';
    }
    text << "buckthornmux_" << kTimingNames.at(i) << "_count " << total << '\n';
  }
  return std::move(text).str();
}

std::string_view CounterName(Counter counter) {
  return kCounterNames.at(static_cast<std::size_t>(counter));
}

std::string_view GaugeName(Gauge gauge) {
  return kGaugeNames.at(static_cast<std::size_t>(gauge));
}

std::string_view TimingName(Timing timing) {
  return kTimingNames.at(static_cast<std::size_t>(timing));
}

}  // namespace buckthornmux::runtime
