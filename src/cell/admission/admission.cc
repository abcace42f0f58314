#include "src/cell/admission/admission.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include "src/cell/placement/headroom.h"

namespace buckthornmux::cell {
namespace {

/// A job that ends after this multiple of its objective has no value left.
constexpr int kWorthlessFactor = 3;
/// The gauge covers 4 s, and tasks that began before the backlog run for some
/// seconds more.
constexpr Millis kSettledAfter{8000};
/// Estimates are off by a fifth, and rates vary. What the cell is given credit
/// for beyond its measured rate, in percent.
constexpr std::int64_t kOptimisticPercent = 125;
constexpr std::int64_t kAllPercent = 100;
constexpr std::int64_t kMillisPerSecond = 1000;
/// Bounds of Retry-After before it is spread by up to kRetrySpread more, so
/// that not all refused callers come back at the same time. In whole seconds,
/// as the header has them.
constexpr Millis kMinRetry{1000};
constexpr Millis kMaxRetry{3000};
constexpr std::size_t kRetrySpread = 2;

std::size_t PlaceOf(int priority) {
  constexpr int kLast = static_cast<int>(WaitingWork::kPriorities) - 1;
  return static_cast<std::size_t>(std::clamp(priority, 0, kLast));
}

/// When to try again, if the backlog is as short as it must be after `over`.
Millis RetryAfter(const JobId& id, Millis over) {
  const auto spread =
      static_cast<std::int64_t>(std::hash<JobId>{}(id) % kRetrySpread);
  return std::chrono::floor<std::chrono::seconds>(
             std::clamp(over, kMinRetry, kMaxRetry)) +
         Millis(spread * kMillisPerSecond);
}

}  // namespace

std::int64_t BestRate(std::int64_t measured, std::int64_t capacity,
                      Millis backlogged) {
  const std::int64_t optimistic =
      measured / kMillisPerSecond * kOptimisticPercent / kAllPercent;
  // Less than half of the cell's rate beside a backlog is an outage that ends.
  return std::max(optimistic,
                  backlogged >= kSettledAfter ? capacity / 2 : capacity);
}

Verdict Admit(const AdmissionView& view, const JobNeed& need) {
  if (!view.on || view.rate <= 0) {
    return {};
  }
  Verdict verdict;
  verdict.ends_in = Millis(view.work_ahead / view.rate) + need.chain;
  const Millis over = verdict.ends_in - kWorthlessFactor * need.objective;
  if (over > Millis(0)) {
    verdict.admitted = false;
    verdict.retry_after = RetryAfter(need.id, over);
  }
  return verdict;
}

AdmissionView MakeAdmissionView(Cell& cell, int priority, bool excess,
                                Time now) {
  AdmissionView view;
  view.on = OverloadControlOn(cell.options.stop_time, cell.urgent_arrivals);
  if (!view.on) {
    return view;
  }
  const WaitingWork& work = cell.waiting_work;
  const auto last = static_cast<std::ptrdiff_t>(PlaceOf(priority)) + 1;
  view.work_ahead = std::accumulate(
      work.within.begin(), work.within.begin() + last, std::int64_t{0});
  if (excess) {
    // All work within a share goes first, also of less urgent classes.
    view.work_ahead = std::accumulate(
        work.within.begin(), work.within.end(),
        std::accumulate(work.excess.begin(), work.excess.begin() + last,
                        std::int64_t{0}));
  }
  AdvanceTo(cell.ended_work, now);
  view.rate =
      BestRate(PerSecond(cell.ended_work), cell.capacity_cpu,
               cell.backlog_since ? now - *cell.backlog_since : Millis(0));
  return view;
}

void AddWaitingWork(WaitingWork& work, int priority, bool excess,
                    std::int64_t amount) {
  (excess ? work.excess : work.within)[PlaceOf(priority)] += amount;
}

}  // namespace buckthornmux::cell
