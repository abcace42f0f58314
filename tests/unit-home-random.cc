// Randomised test of partition owners on a simulated clock with takeovers,
// paused owners, store outages, cancellations, and lost, late, duplicated and
// reordered messages. A checker compares the tasks that targets ran with the
// answers that callers received.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <iostream>
#include <memory>

#include "buckthornmux/detail/home/journal.h"
#include "buckthornmux/detail/home/state.h"
#include "fake_cell.h"
#include "home_checker.h"
#include "home_requests.h"
#include "mock_store.h"

namespace buckthornmux::home {
namespace {

constexpr WallMillis kWallStart = 1'000'000;
constexpr Millis kLeaseDuration{3000};
constexpr Millis kCallerTimeout{2000};
constexpr int kSteps = 2500;
constexpr std::uint32_t kWorldsPerCase = 5;
constexpr int kMaxRecoveryRounds = 1500;
constexpr Millis kRecoveryInterval{200};

/// One process with a partition owner's state, journal writer and lease.
struct Node {
  HomeState state;
  Chain chain;
  std::deque<JournalRecord> pending;
  std::uint64_t journaled = 0;
  Epoch epoch = 0;
  Time lease_until;
  bool paused = false;
  bool lost = false;
  bool renews_lease = true;
  bool journal_down = false;
};

struct Message {
  /// Receiving shard owner; nullopt: sent to a node.
  std::optional<std::size_t> owner;
  /// Receiving node, or the sending one if `owner` is set.
  std::size_t node = 0;
  ToShard to_shard;
  FromShard from_shard;
  bool copy = false;  ///< Duplicate of a message that has been delivered.
};

class World {
 public:
  explicit World(std::uint32_t seed) : m_random(seed) {
    m_cell.random = &m_random;
    m_cell.on_start = [this](const sched::ReportedTask& task) {
      m_checker.Started(task);
    };
    m_cell.on_end = [this](const std::string& id) { m_checker.Ended(id); };
    m_cell.send = [this](FromShard message) { FromOwner(std::move(message)); };
    m_cell.AddShard("s1", 2);
    m_cell.AddShard("s2", 1);
    m_cell.AddShard("s3", 2);
    m_store.fault = [this](std::string_view, std::string_view) {
      return Fault();
    };
    Gain();
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      RandomStep();
    }
    Recover();
  }

  static inline std::size_t events = 0;
  static inline std::size_t starts = 0;

 private:
  std::size_t Draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
  }
  bool Chance(std::size_t percent) { return Draw(100) < percent; }

  store::MockFault Fault() {
    if (!m_faults) {
      return store::MockFault::kNone;
    }
    if (m_outage) {
      return store::MockFault::kUnavailable;
    }
    return Chance(85) ? store::MockFault::kNone
                      : static_cast<store::MockFault>(1 + Draw(3));
  }

  // ---- Nodes ----

  void Do(std::size_t index, const Event& event) {
    ++events;
    Node& node = *m_nodes[index];
    for (Action& action : Apply(node.state, event, m_now)) {
      if (const auto* reply = std::get_if<Reply>(&action)) {
        m_checker.Answered(*reply, index + 1 == m_nodes.size());
      } else if (auto* append = std::get_if<Append>(&action)) {
        node.pending.push_back(std::move(append->record));
      } else if (auto* to = std::get_if<ToShard>(&action)) {
        Route(index, std::move(*to));
      }
    }
  }

  ShardsChanged Views(bool lagging) {
    ShardsChanged views;
    for (const auto& [id, index] : m_cell.current_owner) {
      ShardView view;
      view.id = id;
      view.epoch = m_cell.owners[index].epoch;
      view.epoch -= lagging && view.epoch > 1 && Chance(30) ? 1U : 0U;
      view.reachable = !lagging || Chance(90);
      view.free = {static_cast<std::int64_t>(Draw(4)), 0, 0, 0};
      views.shards.push_back(view);
    }
    return views;
  }

  /// A new process takes over the partition; the former owner is not notified.
  void Gain() {
    const Epoch epoch = ++m_home_epoch;
    store::Store handle = m_store.Handle();
    const bool faults = std::exchange(m_faults, false);
    auto taken = Capture([&] {
      return ClaimChain(handle, kPart, epoch,
                        kWallStart + m_now.time_since_epoch().count());
    });
    m_faults = faults;
    auto node = std::make_unique<Node>();
    node->state = MakeHome({.seed = Draw(1000)}, {Time(), kWallStart});
    node->epoch = epoch;
    node->chain = std::get<ClaimedChain>(taken).chain;
    m_nodes.push_back(std::move(node));
    const std::size_t index = m_nodes.size() - 1;
    Renew(index);
    Do(index, Views(false));
    Do(index,
       PartitionGained{{kPart, epoch}, std::get<ClaimedChain>(taken).records});
  }

  void Renew(std::size_t index) {
    Node& node = *m_nodes[index];
    const bool is_current = index + 1 == m_nodes.size();
    if (is_current && node.renews_lease && !m_outage) {
      node.lease_until = m_now + kLeaseDuration;
      Do(index, LeaseUntil{node.lease_until});
    }
  }

  void TakeOverIfLapsed() {
    Node& last = *m_nodes.back();
    if (!last.renews_lease && last.lease_until <= m_now && !m_outage) {
      Gain();
    }
  }

  void HandOver() {
    const std::size_t index = m_nodes.size() - 1;
    if (m_outage || m_nodes[index]->paused) {
      return;
    }
    m_nodes[index]->lost = true;
    Do(index, PartitionLost{kPart});
    Gain();
  }

  void JournalStep(std::size_t index) {
    Node& node = *m_nodes[index];
    if (node.pending.empty() || node.lost) {
      return;
    }
    const std::size_t count = 1 + Draw(node.pending.size());
    const std::vector<JournalRecord> batch(
        node.pending.begin(),
        node.pending.begin() + static_cast<std::ptrdiff_t>(count));
    const store::Store handle = m_store.Handle();
    const auto done =
        Capture([&] { return AppendRecords(handle, node.chain, batch); });
    if (const auto* error = std::get_if<Error>(&done)) {
      if (error->kind == ErrorKind::kOwnerStale) {
        node.lost = true;
        Do(index, PartitionLost{kPart});
      } else {
        SetDown(index, true);
      }
      return;
    }
    const std::size_t durable = std::get<std::size_t>(done);
    node.pending.erase(
        node.pending.begin(),
        node.pending.begin() + static_cast<std::ptrdiff_t>(durable));
    node.journaled += durable;
    SetDown(index, false);
    Do(index, Journaled{kPart, node.journaled});
    if (Chance(5)) {
      static_cast<void>(Capture([&] {
        return Compact(handle, node.chain,
                       kWallStart + m_now.time_since_epoch().count());
      }));
    }
  }

  void SetDown(std::size_t index, bool down) {
    Node& node = *m_nodes[index];
    if (node.journal_down != down) {
      node.journal_down = down;
      Do(index, JournalDown{kPart, down});
    }
  }

  // ---- Messages ----

  void Route(std::size_t sender, ToShard message) {
    const std::size_t current_owner = m_cell.current_owner.at(message.shard);
    std::size_t to = current_owner;
    for (std::size_t index = 0; index < m_cell.owners.size(); ++index) {
      const FakeOwner& owner = m_cell.owners[index];
      const bool wanted = message.epoch == 0
                              ? m_faults && Chance(10)  // An outdated route.
                              : owner.epoch == message.epoch;
      if (owner.shard == message.shard && wanted) {
        to = index;
      }
    }
    const bool wrong =
        message.epoch != 0 && m_cell.owners[to].epoch != message.epoch;
    m_network.push_back({to, sender, std::move(message), {}});
    if (wrong) {
      m_network.back().owner.reset();
      // An empty shard marks a failed send.
      m_network.back().from_shard.shard = "";
    }
  }

  void FromOwner(FromShard message) {
    const Epoch epoch = std::visit(
        [](const auto& each) { return each.home.epoch; }, message.message);
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      if (m_nodes[index]->epoch == epoch) {
        m_network.push_back({std::nullopt, index, {}, std::move(message)});
        return;
      }
    }
  }

  void DeliverOne() {
    if (m_network.empty()) {
      return;
    }
    const std::size_t which = Draw(m_network.size());
    const Message message = m_network[which];
    if (!message.owner && m_nodes[message.node]->paused) {
      return;
    }
    const bool doubled = m_faults && Chance(4);
    if (doubled) {
      m_network[which].copy = true;
    } else {
      m_network[which] = m_network.back();
      m_network.pop_back();
    }
    Deliver(message, doubled);
  }

  void Deliver(const Message& message, bool doubled) {
    const bool failed = !message.owner && message.from_shard.shard.empty();
    if (failed) {
      Do(message.node, SendFailed{message.to_shard});
    } else if (m_faults && Chance(4)) {
      // The message is lost; the sender may receive SendFailed.
      if (message.owner && !doubled && !message.copy && Chance(50)) {
        Do(message.node, SendFailed{message.to_shard});
      }
    } else if (message.owner) {
      m_cell.Take(*message.owner, message.to_shard);
    } else {
      Do(message.node, message.from_shard);
    }
  }

  // ---- Callers ----

  void CallerStep(std::size_t index) {
    JobRequest request = m_requests[Draw(m_requests.size())];
    const std::uint64_t token = ++m_token;
    if (request.work_class == WorkClass::kUrgent) {
      request.deadline =
          kWallStart + (m_now + kCallerTimeout).time_since_epoch().count();
    }
    const std::size_t what = Draw(10);
    if (what < 7) {
      m_checker.Submitted(token, request);
      Do(index, Submit{token, request});
    } else if (what < 8) {
      m_checker.Queried(token, request);
      Do(index, CancelJob{token, request.team, request.id});
    } else if (what < 9) {
      m_checker.Queried(token, request);
      Do(index, QueryJob{token, request.team, request.id, Chance(50)});
    } else {
      Do(index, CallerGone{token - 1});
    }
  }

  /// Usually the current owner, sometimes a former one that was not notified.
  std::size_t SomeNode() {
    return Chance(80) ? m_nodes.size() - 1 : Draw(m_nodes.size());
  }

  void RandomStep() {
    const std::size_t index = SomeNode();
    const bool awake = !m_nodes[index]->paused;
    const std::size_t what = Draw(100);
    if (what < 12 && awake) {
      CallerStep(index);
    } else if (what < 50) {
      DeliverOne();
    } else if (what < 62 && awake) {
      JournalStep(index);
    } else if (what < 68) {
      m_now += Millis(1 + Draw(300));
    } else if (what < 72 && awake) {
      Do(index, Tick{});
    } else if (what < 80) {
      m_cell.StartSome();
    } else if (what < 85) {
      m_cell.EndSome();
    } else if (what < 90) {
      m_cell.Report(Draw(m_cell.targets.size()));
    } else if (what < 93 && awake) {
      Do(index, Views(true));
    } else if (what < 96 && awake) {
      Renew(index);
      TakeOverIfLapsed();
    } else {
      RareStep(index);
    }
  }

  void RareStep(std::size_t index) {
    switch (Draw(6)) {
      case 0:
        m_cell.Takeover(Chance(50) ? "s1" : "s2", {{kPart, m_home_epoch}});
        break;
      case 1:
        m_nodes[index]->paused = !m_nodes[index]->paused;
        break;
      case 2:
        m_outage = !m_outage;
        break;
      case 3:
        m_nodes.back()->renews_lease = false;
        m_now += Chance(50) ? kLeaseDuration : Millis(0);
        TakeOverIfLapsed();
        break;
      case 4:
        HandOver();
        break;
      default:
        break;
    }
  }

  // ---- Recovery ----

  /// Ends all faults; every accepted job then has to end.
  void Recover() {
    m_faults = false;
    m_outage = false;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      Node& node = *m_nodes[index];
      node.paused = false;
      node.renews_lease = true;
      if (index + 1 < m_nodes.size() && !node.lost) {
        node.lost = true;
        Do(index, PartitionLost{kPart});
      }
    }
    if (m_nodes.back()->lost) {
      Gain();
    }
    const std::size_t last = m_nodes.size() - 1;
    for (int round = 0; round < kMaxRecoveryRounds && !AllEnded(last);
         ++round) {
      RecoveryRound(last);
    }
    RC_ASSERT(AllEnded(last));
    CheckAccepted(last);
  }

  void RecoveryRound(std::size_t last) {
    m_now += kRecoveryInterval;
    Renew(last);
    Do(last, Views(false));
    Do(last, Tick{});
    for (std::size_t target = 0; target < m_cell.targets.size(); ++target) {
      m_cell.Report(target);
    }
    for (int count = 0; count < 5; ++count) {
      JournalStep(last);
      while (!m_network.empty()) {
        DeliverOne();
      }
      m_cell.StartSome();
      m_cell.EndSome();
    }
  }

  bool AllEnded(std::size_t last) {
    return std::ranges::all_of(m_checker.accepted, [&](const auto& item) {
      const auto status = Capture(
          [&] { return FindJob(m_nodes[last]->state, "red", item.first); });
      const auto* known = std::get_if<JobStatus>(&status);
      RC_ASSERT(known != nullptr);  // Accepted jobs are never lost.
      return known->phase >= JobPhase::kDone;
    });
  }

  void CheckAccepted(std::size_t last) {
    for (const auto& item : m_checker.accepted) {
      const auto& [id, request] = item;
      const auto outcome = Capture(
          [&] { return FindJob(m_nodes[last]->state, "red", item.first); });
      const auto& status = std::get<JobStatus>(outcome);
      if (status.ran == Ran::kNo) {
        RC_ASSERT(m_checker.job_runs[id] == 0U);
      }
      if (status.phase == JobPhase::kDone) {
        RC_ASSERT(m_checker.job_runs[id] >= request.tasks);
      }
      if (request.idempotent && status.phase == JobPhase::kFailed) {
        RC_ASSERT(m_checker.job_runs[id] >= 1U);
      }
    }
    for (const auto& [id, runs] : m_checker.runs) {
      starts += static_cast<std::size_t>(runs);
    }
  }

  std::mt19937 m_random;
  Time m_now{};
  store::MockStore m_store;
  FakeCell m_cell;
  Checker m_checker;
  std::vector<JobRequest> m_requests = MakeRequests();
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<Message> m_network;
  Epoch m_home_epoch = 0;
  std::uint64_t m_token = 0;
  bool m_faults = true;
  bool m_outage = false;
};

class HomeRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomeRandomTest);
  CPPUNIT_TEST(TruthUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TruthUnderFaults() {
    const bool held = rc::check([] {
      const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
      for (std::uint32_t index = 0; index < kWorldsPerCase; ++index) {
        World world(seed + index);
        world.Run();
      }
    });
    std::cout << "events=" << World::events << " starts=" << World::starts
              << "\n";
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeRandomTest);

}  // namespace
}  // namespace buckthornmux::home
