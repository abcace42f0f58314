#include "src/cell/admission/shares.h"

#include <algorithm>
#include <vector>

namespace buckthornmux::cell {

bool TakeToken(Cell& cell, const TeamName& name, Time now) {
  const auto team = cell.teams.find(name);
  if (team == cell.teams.end()) {
    return true;
  }
  constexpr double kMillisPerSecond = 1000;
  TeamUsage& usage = cell.usage[name];
  const double rate = team->second.weight;
  const double max_tokens =
      rate * static_cast<double>(cell.options.share_burst.count()) /
      kMillisPerSecond;
  if (!usage.tokens_set) {
    usage.tokens_set = true;
    usage.tokens = max_tokens;
    usage.tokens_at = now;
  }
  const auto passed = static_cast<double>((now - usage.tokens_at).count());
  usage.tokens_at = now;
  usage.tokens =
      std::min(max_tokens, usage.tokens + passed * rate / kMillisPerSecond);
  if (usage.tokens < 1) {
    return false;
  }
  usage.tokens -= 1;
  return true;
}

bool IsExcessFull(const Cell& cell) {
  return static_cast<double>(cell.excess_cpu) >
         cell.options.excess_backlog * static_cast<double>(cell.capacity_cpu);
}

void RestoreShares(Cell& cell, Time now) {
  std::vector<Job*> open;
  for (auto& [id, job] : cell.jobs) {
    if (job.adopted && !job.Ended()) {
      open.push_back(&job);
    }
  }
  std::ranges::sort(open, [](const Job* a, const Job* b) {
    return a->arrived != b->arrived ? a->arrived < b->arrived
                                    : a->spec.id < b->spec.id;
  });
  for (Job* job : open) {
    // The former owner's clock may be ahead.
    job->excess = !TakeToken(cell, job->spec.team, std::min(job->arrived, now));
  }
}

}  // namespace buckthornmux::cell
