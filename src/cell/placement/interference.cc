#include "src/cell/placement/interference.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <utility>

namespace buckthornmux::cell {
namespace {

constexpr std::size_t kMaxPairs = 512;
/// Time after which evidence has half its weight.
constexpr Millis kHalfLife{60'000};
/// A kind that no task has had for this time gives its place to another one.
constexpr Millis kKindRetention{120'000};
/// A pair of less weight than one comparison gives its place to another one.
constexpr double kMinWeight = 0.5;
/// Interference is found if the difference is this many standard errors, and
/// ends below the second value. Pairs are judged again and again, so that the
/// first is far beyond what a single judgement would need.
constexpr double kFoundDeviations = 4.5;
constexpr double kGoneDeviations = 2;
/// Logarithms of the slowdowns at which it is found, about 1.15, and ends.
constexpr double kFoundDifference = 0.14;
constexpr double kGoneDifference = 0.07;
/// Part of these thresholds that must be reached without any one team.
constexpr double kWithoutTeamPart = 0.5;
/// Comparisons that must stand behind a finding.
constexpr double kFoundWeight = 10;
/// Standard deviation of the logarithms of a step's run times that is assumed
/// of a kind at first, and the number of runs that this counts for.
constexpr double kUsualSpread = 0.35;
constexpr double kSpreadCount = 20;
constexpr double kMinSpread = 0.1;
/// Weight of the assumption that there is no slowdown.
constexpr double kPriorWeight = 2;
/// Largest difference that one run may show. A team could make its runs as long
/// as it likes.
constexpr double kMaxDifference = 1.386;
constexpr double kMaxDisturbance = 1;

double KeptPart(Millis age) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(kHalfLife.count()));
}

Contrast& operator+=(Contrast& left, const Contrast& right) {
  left.sum += right.sum;
  left.weight += right.weight;
  return left;
}

Contrast Total(const PairEntry& pair) {
  Contrast total;
  for (const Contrast& group : pair.groups) {
    total += group;
  }
  return total;
}

double MeanOf(const Contrast& contrast) {
  return contrast.sum / (contrast.weight + kPriorWeight);
}

/// Whether a contrast reaches a difference and a multiple of its error.
bool Exceeds(const Contrast& contrast, double difference, double deviations,
             double spread) {
  return contrast.weight > 0 && MeanOf(contrast) >= difference &&
         contrast.sum >= deviations * spread * std::sqrt(contrast.weight);
}

double SpreadOf(const KindEntry& kind) {
  const double usual = kUsualSpread * kUsualSpread * kSpreadCount;
  return std::max(kMinSpread, std::sqrt((kind.squares + usual) /
                                        (kind.count + kSpreadCount)));
}

void AgePair(PairEntry& pair, Time now) {
  const double kept = KeptPart(now - pair.at);
  for (Contrast& group : pair.groups) {
    group.sum *= kept;
    group.weight *= kept;
  }
  pair.at = now;
}

/// Means of the runs of a step with and without a kind beside.
struct Split {
  double with = 0;
  double without = 0;
  double count_with = 0;
  double count_without = 0;
};

void Add(Split& split, double value, bool with) {
  double& count = with ? split.count_with : split.count_without;
  double& mean = with ? split.with : split.without;
  count += 1;
  mean += (value - mean) / count;
}

/// Difference of both means, weighted by the inverse of its variance.
Contrast ContrastOf(const Split& split) {
  const double weight = split.count_with == 0 || split.count_without == 0
                            ? 0
                            : split.count_with * split.count_without /
                                  (split.count_with + split.count_without);
  return {weight * (split.with - split.without), weight};
}

/// What a step shows more with one more run than without it. The order in which
/// runs end doesn't matter then: a sum of comparisons with earlier ends would
/// favour long runs.
Contrast Gain(const StepRun& run, std::span<const StepRun> others,
              KindSet kind) {
  Split split;
  for (const StepRun& other : others) {
    const double difference = std::clamp(other.log_time - run.log_time,
                                         -kMaxDifference, kMaxDifference);
    Add(split, difference, (other.beside & kind) != 0);
  }
  const Contrast before = ContrastOf(split);
  Add(split, 0, (run.beside & kind) != 0);
  const Contrast after = ContrastOf(split);
  return {after.sum - before.sum, after.weight - before.weight};
}

PairEntry* FindPair(InterferenceTable& table, KindNumber kind,
                    KindNumber beside, Time now) {
  const std::pair key(kind, beside);
  const auto found = table.pairs.find(key);
  if (found != table.pairs.end()) {
    return &found->second;
  }
  if (table.pairs.size() >= kMaxPairs) {
    return nullptr;
  }
  PairEntry& added = table.pairs[key];
  added.at = now;
  return &added;
}

/// Brings what is concluded of a pair up to date.
/// @return whether interference was found or ended
bool Judge(PairEntry& pair, const KindEntry& kind) {
  const double spread = SpreadOf(kind);
  const Contrast total = Total(pair);
  const double difference = pair.found ? kGoneDifference : kFoundDifference;
  const double deviations = pair.found ? kGoneDeviations : kFoundDeviations;
  const bool found = pair.several_jobs &&
                     (pair.found || total.weight >= kFoundWeight) &&
                     Exceeds(total, difference, deviations, spread);
  pair.several_teams =
      found && std::ranges::all_of(pair.groups, [&](const Contrast& group) {
        const Contrast rest{total.sum - group.sum, total.weight - group.weight};
        return Exceeds(rest, kWithoutTeamPart * difference,
                       kWithoutTeamPart * deviations, spread);
      });
  pair.slowdown = found ? std::exp(MeanOf(total)) : 1;
  return std::exchange(pair.found, found) != found;
}

}  // namespace

KindNumber KindOf(InterferenceTable& table, std::string_view queue,
                  std::string_view image, std::int64_t cpu_milli, Time now) {
  std::string name(queue);
  if (image.empty()) {
    name += " size " + std::to_string(std::bit_width(static_cast<std::uint64_t>(
                           std::max<std::int64_t>(0, cpu_milli))));
  } else {
    name.append(" ").append(image);
  }
  std::size_t place = 0;
  for (std::size_t i = 1; i < kMaxKinds; ++i) {
    KindEntry& kind = table.kinds[i];
    if (kind.name == name) {
      kind.used = now;
      return static_cast<KindNumber>(i);
    }
    const bool free = kind.name.empty() || now - kind.used > kKindRetention;
    place = place == 0 && free ? i : place;
  }
  if (place == 0) {
    return 0;
  }
  const auto number = static_cast<KindNumber>(place);
  std::erase_if(table.pairs, [&](const auto& entry) {
    return entry.first.first == number || entry.first.second == number;
  });
  table.apart[place] = 0;
  for (KindSet& apart : table.apart) {
    apart &= ~SetOf(number);
  }
  table.kinds[place] = {std::move(name), now};
  return number;
}

void Observe(InterferenceTable& table, KindNumber kind, const StepRun& run,
             std::span<const StepRun> others, std::string_view job,
             std::string_view team, Time now) {
  if (kind == 0 || others.empty()) {
    return;
  }
  const auto count = static_cast<double>(others.size());
  double mean = 0;
  KindSet beside = run.beside;
  for (const StepRun& other : others) {
    mean += other.log_time / count;
    beside |= other.beside;
  }
  const double difference =
      std::clamp(run.log_time - mean, -kMaxDifference, kMaxDifference);
  KindEntry& entry = table.kinds[kind];
  // The last 200 runs or so count.
  constexpr double kMaxCount = 200;
  const double kept = entry.count > kMaxCount ? kMaxCount / entry.count : 1;
  entry.squares =
      entry.squares * kept + difference * difference * count / (count + 1);
  entry.count = entry.count * kept + 1;
  const std::size_t group = std::hash<std::string_view>{}(team) % kTeamGroups;
  const std::size_t job_hash = std::hash<std::string_view>{}(job);
  for (; beside != 0; beside &= beside - 1) {
    const auto other = static_cast<KindNumber>(std::countr_zero(beside));
    const Contrast gain = Gain(run, others, SetOf(other));
    PairEntry* pair = gain.weight == 0 && gain.sum == 0
                          ? nullptr
                          : FindPair(table, kind, other, now);
    if (pair == nullptr) {
      continue;
    }
    AgePair(*pair, now);
    pair->groups[group] += gain;
    pair->first_job = pair->first_job == 0 ? job_hash : pair->first_job;
    pair->several_jobs = pair->several_jobs || pair->first_job != job_hash;
  }
}

double Slowdown(const InterferenceTable& table, KindNumber kind,
                KindNumber beside) {
  const auto found = table.pairs.find({kind, beside});
  return found == table.pairs.end() ? 1 : found->second.slowdown;
}

std::vector<PairChange> Age(InterferenceTable& table, Time now) {
  std::vector<PairChange> changes;
  table.apart.fill(0);
  table.found = 0;
  table.judged_at = now;
  for (auto& [key, pair] : table.pairs) {
    const auto [kind, beside] = key;
    AgePair(pair, now);
    if (Judge(pair, table.kinds[kind])) {
      changes.push_back({table.kinds[kind].name, table.kinds[beside].name,
                         pair.found, pair.slowdown});
    }
    if (pair.found) {
      ++table.found;
      table.apart[kind] |= SetOf(beside);
      table.apart[beside] |= pair.several_teams ? SetOf(kind) : 0;
    }
  }
  std::erase_if(table.pairs, [](const auto& entry) {
    return !entry.second.found && Total(entry.second).weight < kMinWeight;
  });
  return changes;
}

double Disturbance(const InterferenceTable& table, KindNumber kind,
                   KindSet present) {
  double sum = 0;
  for (KindSet apart = table.apart[kind] & present; apart != 0;
       apart &= apart - 1) {
    const auto other = static_cast<KindNumber>(std::countr_zero(apart));
    const auto caused = table.pairs.find({other, kind});
    sum += Slowdown(table, kind, other) - 1;
    sum += caused != table.pairs.end() && caused->second.several_teams &&
                   other != kind
               ? caused->second.slowdown - 1
               : 0;
  }
  return std::min(sum, kMaxDisturbance);
}

}  // namespace buckthornmux::cell
