// Measures a shard's decisions: their rate and time on one core, and the
// policy against two baselines on the same generated arrivals.
#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "shard_fleet.h"

namespace buckthornmux::bench {
namespace {

using sched::PolicyChoice;

constexpr std::uint64_t kSeed = 20261203;
constexpr std::size_t kTargets = 970;
constexpr std::size_t kRunning = 21'000;
constexpr std::size_t kShards = 24;

/// Distribution of spans, from 0.1 microseconds to an hour.
class Spans {
 public:
  void Add(double micros) { m_histogram(std::max(micros, 0.1)); }

  [[nodiscard]] double Quantile(double part) const {
    double all = 0;
    for (const double count : m_histogram) all += count;
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(m_histogram)) {
      seen += *bin;
      const bool below_range = bin.index() == 0;
      if (seen >= part * all) return below_range ? 0 : bin.bin().upper();
    }
    return 0;
  }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(
      Axis(2000, 0.1, 3.6e9))) m_histogram =
      boost::histogram::make_histogram(Axis(2000, 0.1, 3.6e9));
};

template <class Value>
void Print(const std::string& key, const Value& value) {
  std::cout << key << '=' << value << '\n';
}

const char* NameOf(PolicyChoice choice) {
  switch (choice) {
    case PolicyChoice::kFair:
      return "fair";
    case PolicyChoice::kFirstFit:
      return "first_fit";
    case PolicyChoice::kStrictPriority:
      return "strict_priority";
  }
  return "";
}

constexpr PolicyChoice kChoices[] = {PolicyChoice::kFair,
                                     PolicyChoice::kFirstFit,
                                     PolicyChoice::kStrictPriority};

config::Config MakeConfig(std::size_t targets, const Resources& capacity) {
  config::Config config;
  config.revision = 1;
  config.teams = {
      {"a", 0.5, 100'000}, {"b", 0.3, 100'000}, {"c", 0.2, 100'000}};
  for (std::size_t i = 0; i < targets; ++i) {
    TargetSpec spec;
    spec.id = "t" + std::to_string(i);
    spec.shard = "s0";
    spec.capacity = capacity;
    config.targets.push_back(spec);
  }
  return config;
}

TaskSpec MakeTask(std::uint64_t number, const std::string& team,
                  WorkClass work_class, const Resources& demand) {
  TaskSpec spec;
  spec.job = std::to_string(number);
  spec.team = team;
  spec.kind = work_class == WorkClass::kUrgent ? "preview" : "batch";
  spec.work_class = work_class;
  spec.idempotent = true;
  spec.demand = demand;
  spec.expected_run = Millis(10'000);
  return spec;
}

// ---- Rate and time of decisions -------------------------------------------

/// Shards kept at a steady count of running tasks; every call is timed.
class SteadyLoad {
 public:
  SteadyLoad(std::size_t shards, std::size_t targets, std::size_t running)
      : m_config(MakeConfig(targets, {24, 24'000, 96'000, 0})) {
    for (std::size_t i = 0; i < shards; ++i) {
      m_shards.push_back(
          {sched::MakeShard("s0", {}, ClockAnchor{Time{}, 0}), {}});
      Prepare(m_shards.back());
      for (std::size_t task = 0; task < running; ++task) {
        Ask(m_shards.back());
      }
    }
    m_calls = {};
    m_spent = {};
    m_starts = 0;
  }

  /// Ends one task and asks for another; reports come as targets would send.
  void Turn() {
    Shard& shard = m_shards[m_random() % m_shards.size()];
    m_now += Millis(m_random() % 5 == 0 ? 1 : 0);  // 5,000 a second.
    if (!shard.running.empty()) {
      std::swap(shard.running[m_random() % shard.running.size()],
                shard.running.back());
      const sched::Start done = shard.running.back();
      shard.running.pop_back();
      Feed(shard, sched::TaskEnded{
                      done.target, done.task.Id(), 1, TaskEnd::kDone, {}});
    }
    Ask(shard);
    if (m_random() % 10 == 0) Report(shard);
  }

  void PrintAs(const std::string& name) const {
    const double seconds = std::chrono::duration<double>(m_spent).count();
    Print(name + "_placements", m_starts);
    Print(name + "_placements_per_s", static_cast<double>(m_starts) / seconds);
    Print(name + "_decision_us_p50", m_calls.Quantile(0.5));
    Print(name + "_decision_us_p99", m_calls.Quantile(0.99));
    Print(name + "_decision_us_p999", m_calls.Quantile(0.999));
  }

 private:
  struct Shard {
    sched::ShardState state;
    std::vector<sched::Start> running;
  };

  void Prepare(Shard& shard) {
    Feed(shard, sched::ConfigInForce{&m_config});
    Feed(shard, sched::OwnershipChanged{1, true});
    for (const config::Team& team : m_config.teams) {
      Feed(shard, sched::GrantChanged{team.name, team.limit});
    }
    for (const TargetSpec& target : m_config.targets) {
      Feed(shard, sched::TargetReport{target.id, {}, {}});
    }
  }

  void Ask(Shard& shard) {
    static const std::vector<std::string> kTeams = {"a", "b", "c"};
    const bool urgent = m_random() % 4 == 0;
    const auto memory = static_cast<std::int64_t>(500 + m_random() % 4 * 500);
    Feed(shard, sched::Enqueue{
                    kBenchHome,
                    {MakeTask(++m_number, kTeams[m_random() % kTeams.size()],
                              urgent ? WorkClass::kUrgent : WorkClass::kPatient,
                              {1, 1000, memory, 0})}});
  }

  void Report(Shard& shard) {
    const std::size_t index = m_random() % m_config.targets.size();
    sched::TargetReport report{m_config.targets[index].id, {}, {}};
    for (const sched::Start& start : shard.running) {
      if (start.target == report.target) {
        report.tasks.push_back({start.task.Id(),
                                1,
                                1,
                                true,
                                TaskEnd::kDone,
                                {},
                                start.task,
                                start.home});
      }
    }
    Feed(shard, report);
  }

  void Feed(Shard& shard, const sched::Event& event) {
    const auto began = std::chrono::steady_clock::now();
    const std::vector<sched::Action> actions =
        sched::Apply(shard.state, event, m_now);
    const auto took = std::chrono::steady_clock::now() - began;
    m_spent += took;
    m_calls.Add(std::chrono::duration<double, std::micro>(took).count());
    for (const sched::Action& action : actions) {
      if (const auto* start = std::get_if<sched::Start>(&action)) {
        ++m_starts;
        shard.running.push_back(*start);
        Feed(shard, sched::StartAnswered{start->target, start->task.Id(), 1,
                                         true, false, ErrorKind::kInternal});
      } else if (const auto* want = std::get_if<sched::RequestGrant>(&action)) {
        Feed(shard, sched::GrantChanged{want->team, want->slots});
      }
    }
  }

  config::Config m_config;
  std::vector<Shard> m_shards;
  std::mt19937_64 m_random{kSeed};
  Time m_now{};
  std::uint64_t m_number = 0;
  Spans m_calls;
  std::chrono::steady_clock::duration m_spent{};
  std::size_t m_starts = 0;
};

void MeasureRate() {
  constexpr int kTurns = 60'000;
  SteadyLoad one(1, kTargets, kRunning);
  for (int i = 0; i < kTurns; ++i) one.Turn();
  one.PrintAs("one_shard_970_targets");
  SteadyLoad many(kShards, kTargets / kShards, kRunning / kShards);
  for (int i = 0; i < kTurns; ++i) many.Turn();
  many.PrintAs("24_shards_970_targets");
}

void MeasureCancelWave() {
  constexpr std::size_t kWaves[] = {10'000, 20'000, 40'000};
  for (const std::size_t wave : kWaves) {
    config::Config config = MakeConfig(kTargets / kShards, {8, 8000, 8000, 0});
    sched::ShardState state =
        sched::MakeShard("s0", {}, ClockAnchor{Time{}, 0});
    const Time now{};
    (void)sched::Apply(state, sched::ConfigInForce{&config}, now);
    (void)sched::Apply(state, sched::OwnershipChanged{1, true}, now);
    sched::Cancel cancel{kBenchHome, {}};
    for (std::size_t i = 0; i < wave; ++i) {
      const TaskSpec spec =
          MakeTask(i, "a", WorkClass::kPatient, {1, 1000, 1000, 0});
      cancel.task_ids.push_back(spec.Id());
      (void)sched::Apply(state, sched::Enqueue{kBenchHome, {spec}}, now);
    }
    const auto began = std::chrono::steady_clock::now();
    (void)sched::Apply(state, cancel, now);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - began;
    Print("cancel_wave_" + std::to_string(wave) + "_ms", took.count());
  }
}

// ---- Policy against baselines ---------------------------------------------

/// Unlike teams, all with work waiting at any time.
void MeasureShares(PolicyChoice choice) {
  constexpr Millis kWindow{60'000};
  constexpr int kWindows = 30;
  constexpr int kWarmUp = 3;
  constexpr Millis kSample{500};
  const std::map<std::string, std::pair<Resources, int>> work = {
      {"a", {{1, 1500, 2500, 0}, 8'000}},
      {"b", {{2, 2000, 9000, 0}, 25'000}},
      {"c", {{3, 7000, 5000, 0}, 70'000}}};
  sched::Policy policy;
  policy.choice = choice;
  ShardFleet fleet(policy, MakeConfig(40, {8, 16'000, 32'000, 0}));
  std::mt19937_64 random(kSeed);
  std::uint64_t number = 0;
  std::map<std::string, int> waiting;
  fleet.on_started = [&](const sched::Started& started, Time) {
    --waiting[started.task_id.substr(0, 1)];
  };
  double worst = 0;
  double sum = 0;
  for (int window = 0; window < kWindows; ++window) {
    std::map<std::string, double> used;
    for (Time end = fleet.Now() + kWindow; fleet.Now() < end;) {
      for (const auto& [team, kind] : work) {
        // The largest team asks ten times as often as the others.
        const int backlog = team == "a" ? 2000 : 200;
        std::exponential_distribution<double> run(1.0 / kind.second);
        for (; waiting[team] < backlog; ++waiting[team]) {
          fleet.Ask(MakeTask(++number, team, WorkClass::kPatient, kind.first),
                    Millis(100 + static_cast<int>(run(random))));
        }
      }
      fleet.RunTo(fleet.Now() + kSample);
      for (const auto& [name, team] : fleet.State().teams) {
        used[name] += sched::DominantPart(fleet.State(), team);
      }
    }
    if (window < kWarmUp) continue;
    double all = 0;
    for (const auto& [name, part] : used) all += part;
    for (const auto& [name, team] : fleet.State().teams) {
      const double off = std::abs(used[name] / all - team.share);
      worst = std::max(worst, off);
      sum += off;
    }
  }
  const std::string name = std::string("shares_") + NameOf(choice);
  Print(name + "_mean_off", sum / ((kWindows - kWarmUp) * 3));
  Print(name + "_worst_off", worst);
  Print(name + "_preempted", fleet.preempted);
}

/// Urgent arrivals by day with patient work that waits until its deadline.
void MeasureMixed(PolicyChoice choice, double load) {
  constexpr Millis kLength{1'800'000};
  constexpr Millis kStep{100};
  constexpr std::int64_t kUrgentWait = 2000;
  sched::Policy policy;
  policy.choice = choice;
  ShardFleet fleet(policy, MakeConfig(40, {8, 16'000, 32'000, 0}));
  std::mt19937_64 random(kSeed);
  std::map<std::string, std::int64_t> urgent_asked;
  std::map<std::string, std::int64_t> deadlines;
  Spans urgent_wait;
  std::size_t urgent = 0, urgent_in_time = 0, refused = 0, refused_late = 0;
  std::size_t patient = 0, met = 0;
  fleet.on_started = [&](const sched::Started& started, Time at) {
    const auto asked = urgent_asked.find(started.task_id);
    if (asked == urgent_asked.end()) return;
    const auto wait = at.time_since_epoch().count() - asked->second;
    urgent_wait.Add(static_cast<double>(wait) * 1000);
  };
  fleet.on_ended = [&](const sched::Ended& ended, Time at) {
    const std::int64_t now = at.time_since_epoch().count();
    const bool done = ended.end == TaskEnd::kDone;
    if (const auto asked = urgent_asked.find(ended.task_id);
        asked != urgent_asked.end()) {
      const std::int64_t took = now - asked->second;
      urgent_in_time += done && took <= kUrgentWait ? 1 : 0;
      refused += done ? 0 : 1;
      refused_late += !done && took > 0 ? 1 : 0;
    } else if (done && now <= deadlines[ended.task_id]) {
      ++met;
    }
  };
  // 320 slots: a tenth for urgent work of 300 ms, the rest patient, 20 s each.
  std::poisson_distribution<int> urgent_arrivals(107.0 * 0.1);
  std::poisson_distribution<int> patient_arrivals(load * 288 / 20.0 * 0.1);
  std::exponential_distribution<double> urgent_run(1.0 / 300);
  std::exponential_distribution<double> patient_run(1.0 / 20'000);
  std::uint64_t number = 0;
  while (fleet.Now() < Time{kLength}) {
    const std::int64_t now = fleet.Now().time_since_epoch().count();
    const bool filling = fleet.Now() < Time{kLength} - Millis(300'000);
    for (int n = urgent_arrivals(random); n > 0; --n) {
      TaskSpec spec = MakeTask(++number, n % 2 == 0 ? "a" : "b",
                               WorkClass::kUrgent, {1, 1000, 1000, 0});
      spec.expected_run = Millis(300);
      spec.deadline = now + kUrgentWait;
      urgent_asked[spec.Id()] = now;
      ++urgent;
      fleet.Ask(spec, Millis(20 + static_cast<int>(urgent_run(random))));
    }
    for (int n = patient_arrivals(random); n > 0 && filling; --n) {
      TaskSpec spec = MakeTask(++number, n % 3 == 0 ? "c" : "a",
                               WorkClass::kPatient, {1, 2000, 3000, 0});
      // Declared far off; deadlines from one to ten minutes.
      spec.expected_run = Millis(2'000 + random() % 60'000);
      spec.deadline = now + 60'000 + static_cast<int>(random() % 540'000);
      deadlines[spec.Id()] = spec.deadline;
      ++patient;
      fleet.Ask(spec, Millis(200 + static_cast<int>(patient_run(random))));
    }
    fleet.RunTo(fleet.Now() + kStep);
  }
  const std::string name = "mixed_load" +
                           std::to_string(static_cast<int>(load * 100)) + "_" +
                           NameOf(choice);
  Print(name + "_urgent_wait_ms_p50", urgent_wait.Quantile(0.5) / 1000);
  Print(name + "_urgent_wait_ms_p99", urgent_wait.Quantile(0.99) / 1000);
  Print(name + "_urgent_in_time",
        static_cast<double>(urgent_in_time) / static_cast<double>(urgent));
  Print(name + "_urgent_refused", refused);
  Print(name + "_urgent_refused_after_waiting", refused_late);
  Print(name + "_deadlines_met",
        static_cast<double>(met) / static_cast<double>(patient));
  Print(name + "_stops", fleet.preempted);
}

/// A set that fills one dimension of the shard to the brim, were tasks
/// divisible: the offline bound places all of it.
void MeasurePacking(PolicyChoice choice) {
  constexpr int kRounds = 200;
  const Resources shapes[] = {{1, 4000, 2000, 0},
                              {1, 1000, 8000, 0},
                              {2, 2000, 4000, 0},
                              {1, 1000, 1000, 0},
                              {4, 8000, 16'000, 0}};
  std::mt19937_64 random(kSeed);
  double placed = 0;
  double asked = 0;
  for (int round = 0; round < kRounds; ++round) {
    sched::Policy policy;
    policy.choice = choice;
    ShardFleet fleet(policy, MakeConfig(40, {8, 16'000, 32'000, 0}));
    Resources all;
    for (std::uint64_t number = 0;; ++number) {
      const Resources demand = shapes[random() % std::size(shapes)];
      all += demand;
      if (!all.FitsIn({320, 640'000, 1'280'000, 0})) break;
      asked += static_cast<double>(demand.slots);
      fleet.Ask(MakeTask(number, "a", WorkClass::kPatient, demand),
                Millis(3'600'000));
    }
    placed +=
        static_cast<double>(sched::TeamUses(fleet.State()).front().used.slots);
  }
  Print(std::string("packing_") + NameOf(choice) + "_of_bound", placed / asked);
}

}  // namespace

void MeasureAll() {
  MeasureRate();
  MeasureCancelWave();
  for (const auto choice : kChoices) MeasureShares(choice);
  for (const double load : {0.8, 1.1}) {
    for (const auto choice : kChoices) MeasureMixed(choice, load);
  }
  for (const auto choice : kChoices) MeasurePacking(choice);
}

}  // namespace buckthornmux::bench

int main() {
  buckthornmux::bench::MeasureAll();
  return EXIT_SUCCESS;
}
