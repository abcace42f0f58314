// Randomised test of a shard's decisions under faults. The invariants are
// checked against what runs on the simulated targets.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <ostream>

#include "shard_world.h"

namespace buckthornmux::sched::testing {

std::ostream& operator<<(std::ostream& out, const SimulationStep& step) {
  return out << '{' << int{step.kind} << ", " << step.seed << '}';
}

}  // namespace buckthornmux::sched::testing

namespace buckthornmux::sched::testing {
namespace {

constexpr std::size_t kTargets = 4;
constexpr int kSteps = 800;  ///< Maximum steps of a test run.
constexpr Millis kEndedRetention{60'000};
constexpr Millis kMaxReportDelay{2500};  ///< Below Policy::report_delay.

}  // namespace

ShardWorld::ShardWorld(Policy policy) : m_driver(kTargets, policy) {
  m_driver.grant = 20;
  for (const config::Team& team : m_driver.config.teams) {
    m_grants[team.name] = m_driver.grant;
  }
  for (const TargetSpec& target : m_driver.config.targets) {
    m_targets[target.id].fence = m_epoch;
  }
  m_driver.Ready();
}

bool ShardWorld::RandomPercent(std::uint32_t percent) {
  return m_random() % 100 < percent;
}

void ShardWorld::Feed(const Event& event) {
  if (const auto* enqueue = std::get_if<Enqueue>(&event)) {
    m_highest_epoch = std::max(m_highest_epoch, enqueue->home.epoch);
  } else if (const auto* cancel = std::get_if<Cancel>(&event)) {
    m_highest_epoch = std::max(m_highest_epoch, cancel->home.epoch);
  } else if (const auto* inquire = std::get_if<Inquire>(&event)) {
    m_highest_epoch = std::max(m_highest_epoch, inquire->home.epoch);
  }
  m_gang_starts.clear();
  m_driver.Feed(event);
  const std::vector<Action> actions = m_driver.actions;
  for (const Action& action : actions) {
    Take(action);
  }
  CheckGangs();
}

void ShardWorld::Take(const Action& action) {
  if (const auto* start = std::get_if<Start>(&action)) {
    const std::string id = start->task.Id();
    const SimulatedTarget& target = m_targets[start->target];
    if (!m_may_start) Breach("start without ownership " + id);
    if (m_cancelled.contains(id)) Breach("cancelled task started " + id);
    if (target.leaving) Breach("start on leaving target " + id);
    if (target.fence < m_epoch) Breach("start before report " + id);
    if (start->home.epoch < m_highest_epoch) Breach("start for old home " + id);
    ++m_gang_starts[start->task.job];
    const Millis travel(m_random() % 1500);
    m_starts.push_back({m_driver.now + travel, *start, false});
  } else if (const auto* stop = std::get_if<Stop>(&action)) {
    auto& running = m_targets[stop->target].running;
    const auto run = running.find({stop->task_id, stop->attempt});
    if (run != running.end() && RandomPercent(80)) {
      run->second.end_at = Time{};  // Ends immediately as cancelled.
    }
  } else if (const auto* ended = std::get_if<Ended>(&action)) {
    const TaskAttempt task{ended->task_id, ended->attempt};
    const bool ran = m_start_counts.contains(task);
    if (ended->error == ErrorKind::kOwnerStale) return;
    if (ended->end == TaskEnd::kNotRun && ran) {
      Breach("reported as not run, but it ran " + ended->task_id);
    }
    answers += m_unanswered.erase(task);
    m_ended.insert(task);
  } else if (const auto* known = std::get_if<Known>(&action)) {
    if (known->complete && m_inquiring) AfterTakeover(*known);
  } else if (const auto* want = std::get_if<RequestGrant>(&action)) {
    // A request for fewer slots limits the shard at once, before the ledger
    // has answered.
    m_grants[want->team] = std::min(m_grants[want->team], want->slots);
    m_pending.emplace_back(
        GrantChanged{want->team, std::min<std::int64_t>(want->slots, 24)});
  }
}

void ShardWorld::CheckGangs() {
  for (const auto& [job, started] : m_gang_starts) {
    const auto spec = m_latest_specs.find("a/" + job + "/0");
    if (spec == m_latest_specs.end() || spec->second.gang_size <= 1) continue;
    if (started != static_cast<int>(spec->second.gang_size)) {
      Breach("gang started incompletely " + job);
    }
  }
}

void ShardWorld::CheckWorld() {
  std::set<std::string> running_ids;
  std::map<TeamName, std::int64_t> used;
  for (const auto& [id, target] : m_targets) {
    Resources sum;
    for (const auto& [task, run] : target.running) {
      sum += run.start.task.demand;
      used[run.start.task.team] += run.start.task.demand.slots;
      if (!running_ids.insert(task.first).second) {
        Breach("task runs on two targets " + task.first);
      }
    }
    if (!sum.FitsIn(kTargetSize)) Breach("capacity exceeded on target " + id);
  }
  for (const auto& [team, slots] : used) {
    if (slots > 24) Breach("largest grant exceeded by team " + team);
  }
}

void ShardWorld::DeliverStarts() {
  std::vector<PendingStart> later;
  for (PendingStart& flight : m_starts) {
    const Start& start = flight.start;
    if (flight.arrives > m_driver.now) {
      later.push_back(flight);
      continue;
    }
    SimulatedTarget& target = m_targets[start.target];
    const bool lost = m_faults && RandomPercent(8);
    const bool accepted = !lost && start.epoch >= target.fence &&
                          m_driver.now <= start.start_by &&
                          !(m_faults && RandomPercent(8));
    const TaskAttempt task{start.task.Id(), start.task.attempt};
    if (accepted) {
      const Millis run(500 + m_random() % 8000);
      target.running[task] = {start, m_driver.now + run};
      ++runs;
      if (++m_start_counts[task] > 1 && !start.task.idempotent) {
        Breach("non-idempotent task started twice " + task.first);
      }
    }
    if (start.epoch != m_epoch) continue;  // The link of that epoch is closed.
    const bool unanswered = lost || (m_faults && RandomPercent(10));
    m_pending.emplace_back(StartAnswered{start.target, task.first, task.second,
                                         accepted && !unanswered, unanswered,
                                         ErrorKind::kTargetRefused});
  }
  m_starts = std::move(later);
}

void ShardWorld::EndRuns() {
  for (auto& [id, target] : m_targets) {
    for (auto run = target.running.begin(); run != target.running.end();) {
      if (run->second.end_at > m_driver.now) {
        ++run;
        continue;
      }
      ReportedTask report = m_driver.Running(run->second.start);
      report.running = false;
      const bool stopped = run->second.end_at == Time{};
      const TaskEnd end = RandomPercent(10) ? TaskEnd::kFailed : TaskEnd::kDone;
      report.end = stopped ? TaskEnd::kCancelled : end;
      target.ended.emplace_back(m_driver.now, report);
      const TaskEnded event{id, report.id, report.attempt, report.end, {}};
      if (!m_faults || RandomPercent(85)) m_pending.emplace_back(event);
      if (m_faults && RandomPercent(15)) m_pending.emplace_back(event);
      run = target.running.erase(run);
    }
    std::erase_if(target.ended, [&](const auto& ended) {
      return ended.first + kEndedRetention < m_driver.now;
    });
  }
}

void ShardWorld::SendReports() {
  for (auto& [id, target] : m_targets) {
    if (target.report && target.report->first <= m_driver.now) {
      const TargetReport report = std::move(target.report->second);
      target.report.reset();
      Feed(report);
    }
    if (target.report || !target.reachable) continue;
    target.fence = m_epoch;  // Set by a renewal with the owner's epoch.
    TargetReport report{id, {}, {}};
    for (const auto& [task, run] : target.running) {
      report.tasks.push_back(m_driver.Running(run.start));
    }
    for (const auto& [at, ended] : target.ended) report.tasks.push_back(ended);
    const Millis travel(m_random() % kMaxReportDelay.count());
    target.report = {m_driver.now + travel, std::move(report)};
  }
}

void ShardWorld::AdvanceTime(Millis by) {
  m_driver.now += by;
  DeliverStarts();
  EndRuns();
  CheckWorld();
  SendReports();
  Feed(Tick{});
}

TaskSpec ShardWorld::NewSpec(std::uint32_t seed) {
  const bool urgent = seed % 4 == 0;
  TaskSpec spec =
      MakeTask("j" + std::to_string(m_next_job++), seed % 3 == 0 ? "b" : "a",
               urgent ? WorkClass::kUrgent : WorkClass::kPatient);
  spec.idempotent = seed % 5 != 0;
  spec.demand = {1 + static_cast<std::int64_t>(seed % 3), 1000,
                 1000 * (1 + static_cast<std::int64_t>(seed % 9)), 0};
  if (seed % 7 == 0) {
    spec.deadline =
        m_driver.state.clock.ToWall(m_driver.now + Millis(seed % 60'000));
  }
  return spec;
}

void ShardWorld::Submit(std::uint32_t seed) {
  const TaskSpec spec = NewSpec(seed);
  m_latest_specs[spec.Id()] = spec;
  m_unanswered.emplace(spec.Id(), 1);
  const Home home{kHome.partition, m_home_epoch};
  m_pending.emplace_back(Enqueue{home, {spec}});
  m_sent.push_back(spec);
  if (RandomPercent(20)) m_pending.emplace_back(Enqueue{home, {spec}});
}

void ShardWorld::SubmitGang(std::uint32_t seed) {
  TaskSpec spec = NewSpec(seed * 4 + 1);
  spec.team = "a";
  spec.deadline = 0;
  spec.work_class = WorkClass::kPatient;
  spec.gang_size = 2 + seed % 6;
  Enqueue enqueue{{kHome.partition, m_home_epoch}, {}};
  for (spec.index = 0; spec.index < spec.gang_size; ++spec.index) {
    m_latest_specs[spec.Id()] = spec;
    m_unanswered.emplace(spec.Id(), 1);
    enqueue.tasks.push_back(spec);
  }
  m_pending.emplace_back(enqueue);
}

// Repeats a request that was sent to the current owner; its task may have ended
// long ago. Requests to former owners are not repeated, since a home does not
// repeat requests that it has closed.
void ShardWorld::Resend(std::uint32_t seed) {
  if (m_sent.empty()) return;
  const TaskSpec& spec = m_sent[seed % m_sent.size()];
  const Epoch epoch = m_home_epoch - (seed % 5 == 0 ? 1 : 0);
  Feed(Enqueue{{kHome.partition, epoch}, {spec}});
}

void ShardWorld::CancelSome(std::uint32_t seed) {
  Cancel cancel{{kHome.partition, m_home_epoch}, {}};
  for (const auto& [id, spec] : m_latest_specs) {
    if ((std::hash<std::string>{}(id) + seed) % 6 == 0) {
      cancel.task_ids.push_back(id);
      m_cancelled.insert(id);
    }
  }
  Feed(cancel);
}

void ShardWorld::DeliverOne(std::uint32_t seed) {
  if (m_pending.empty()) return;
  const std::size_t at = seed % m_pending.size();
  const Event event = m_pending[at];
  m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(at));
  if (const auto* grant = std::get_if<GrantChanged>(&event)) {
    m_grants[grant->team] = grant->slots;
  }
  Feed(event);
}

void ShardWorld::ChangeHealth(std::uint32_t seed) {
  const TargetId id = ShardDriver::Target(seed % kTargets);
  SimulatedTarget& target = m_targets[id];
  target.reachable = seed % 3 != 0;
  target.leaving = seed % 5 == 0;
  Feed(TargetHealth{id, target.reachable, target.leaving});
}

void ShardWorld::RestartTarget(std::uint32_t seed) {
  SimulatedTarget& target = m_targets[ShardDriver::Target(seed % kTargets)];
  target.running.clear();
  target.ended.clear();
}

// Changes the owner. The new owner receives no messages from the former owner's
// links or callers.
void ShardWorld::TakeOver() {
  m_pending.clear();
  m_sent.clear();
  for (auto& [id, target] : m_targets) target.report.reset();
  ++m_epoch;
  m_may_start = true;
  m_driver.TakeOver(m_epoch);
  for (auto& [team, slots] : m_grants) slots = m_driver.grant;
  for (const auto& [id, target] : m_targets) {
    Feed(TargetHealth{id, target.reachable, target.leaving});
  }
  ++m_home_epoch;
  m_inquiring = true;
  m_asked_before_takeover = m_unanswered;
  Feed(Inquire{{kHome.partition, m_home_epoch}});
}

// Sends tasks that the new owner doesn't know again; tasks that must not be
// repeated end as unknown.
void ShardWorld::AfterTakeover(const Known& known) {
  m_inquiring = false;
  const std::set<std::string> queued(known.queued.begin(), known.queued.end());
  std::set<TaskAttempt> listed;
  for (const ReportedTask& task : known.tasks) {
    listed.emplace(task.id, task.attempt);
  }
  for (const TaskAttempt& task : m_asked_before_takeover) {
    const bool open = m_unanswered.contains(task);
    const bool is_known = listed.contains(task) || queued.contains(task.first);
    if (!open || is_known) continue;
    TaskSpec& spec = m_latest_specs[task.first];
    m_unanswered.erase(task);
    if (!spec.idempotent || spec.gang_size > 1) continue;
    ++spec.attempt;
    m_unanswered.emplace(task.first, spec.attempt);
    m_pending.emplace_back(Enqueue{{kHome.partition, m_home_epoch}, {spec}});
  }
}

void ShardWorld::ChangeGrant(std::uint32_t seed) {
  const TeamName team = seed % 2 == 0 ? "a" : "b";
  m_pending.emplace_back(GrantChanged{team, 4 + seed % 20});
}

void ShardWorld::Do(const SimulationStep& step) {
  m_random.seed(step.seed + 1);
  switch (step.kind % 24) {
    case 0:
      return SubmitGang(step.seed);
    case 1:
      return CancelSome(step.seed);
    case 2:
      return ChangeHealth(step.seed);
    case 3:
      return ChangeGrant(step.seed);
    case 4:
      return step.seed % 4 == 0 ? RestartTarget(step.seed) : void();
    case 5:
      return step.seed % 4 == 0 ? TakeOver() : void();
    case 6:
      m_may_start = step.seed % 4 != 0;
      return Feed(OwnershipChanged{m_epoch, m_may_start});
    case 7:
      return Resend(step.seed);
    default:
      break;
  }
  if (step.kind % 24 < 13) return Submit(step.seed);
  if (step.kind % 24 < 18) return AdvanceTime(Millis(step.seed % 1500));
  DeliverOne(step.seed);
}

void ShardWorld::Settle() {
  m_faults = false;
  m_may_start = true;
  Feed(OwnershipChanged{m_epoch, true});
  for (auto& [id, target] : m_targets) {
    target.reachable = true;
    target.leaving = false;
    Feed(TargetHealth{id, true, false});
  }
  constexpr int kSettleSteps = 2000;
  for (int i = 0; i < kSettleSteps && !m_unanswered.empty(); ++i) {
    m_random.seed(static_cast<std::uint32_t>(i) + 1);
    while (!m_pending.empty()) DeliverOne(0);
    AdvanceTime(Millis(500));
  }
  for (const TaskAttempt& task : m_unanswered) {
    Breach("task was never answered " + task.first);
  }
}

namespace {

class ShardRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardRandomTest);
  CPPUNIT_TEST(InvariantsHoldUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHoldUnderFaults() {
    std::size_t runs = 0;
    const bool held = rc::check("shard over random faults", [&runs] {
      const auto step = rc::gen::construct<SimulationStep>(
          rc::gen::inRange<std::uint8_t>(0, 24),
          rc::gen::inRange<std::uint32_t>(0, 1U << 20));
      const auto steps = *rc::gen::resize(
          kSteps, rc::gen::container<std::vector<SimulationStep>>(step));
      Policy policy;
      policy.gang_drain_delay = Millis(2000);
      policy.reclaim_delay = Millis(1000);
      ShardWorld world(policy);
      for (const SimulationStep& one : steps) {
        if (world.breaches.empty()) world.Do(one);
      }
      if (world.breaches.empty()) world.Settle();
      runs += world.runs;
      if (!world.breaches.empty()) RC_FAIL(world.breaches.front());
    });
    CPPUNIT_ASSERT(held);
    CPPUNIT_ASSERT(runs > 0);
    std::cout << "shard_random_runs_begun=" << runs << "\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardRandomTest);

}  // namespace
}  // namespace buckthornmux::sched::testing
