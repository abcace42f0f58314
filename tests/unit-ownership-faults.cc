// Simulates the ownership of several processes with a faulty store and a manual
// clock. Checks that each range has at most one lease holder, that each epoch
// has one owner, and that takeover and handover are fast enough.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::member {
namespace {

constexpr Millis kStep{100};
constexpr Millis kLeaseTtl{6000};
constexpr Millis kRenewalInterval{2000};
constexpr Millis kViewInterval{1000};
constexpr Millis kSettleTime{20'000};
constexpr Millis kMaxGapAfterKill{10'000};
constexpr Millis kMaxGapAfterStop{1000};

struct Registration {
  Member member;
  Time expires;
};

struct Process {
  OwnershipState state;
  int next_incarnation = 1;
  bool alive = true;
  Time paused_until;
  Time next_renewal;
  Time next_view;
  Revision seen = 0;
  std::map<std::string, Epoch> owned;
  std::vector<std::string> releasing;
};

struct Write {
  std::size_t from = 0;
  OwnerRecord record;
  Time due;
};

/// Probabilities of faults, in per cent.
struct Faults {
  unsigned lost = 0;  ///< Loss of a write, renewal or answer.
  unsigned late = 0;  ///< Delay of a write by up to 9 s.
};

struct Simulation {
  Time now{Millis(1'000'000)};
  std::mt19937 random;
  Faults faults;
  bool store_up = true;
  Revision revision = 0;
  std::map<HostId, Registration> members;
  std::map<std::string, OwnerRecord> records;
  std::vector<Process> processes;
  std::vector<Write> writes;
  std::map<std::pair<std::string, Epoch>, std::size_t> gained_by;
  std::map<std::string, Time> last_served;
  Millis max_gap{0};

  explicit Simulation(std::size_t count, unsigned seed = 1) : random(seed) {
    RangesWanted wanted;
    for (int i = 0; i < 24; ++i) {
      wanted.ranges.push_back({"partition/" + std::to_string(i), {}});
    }
    for (std::size_t i = 0; i < count; ++i) {
      Process process;
      const HostId id = "h" + std::to_string(i);
      process.state = MakeOwnership({.id = id, .incarnation = "0"}, {});
      processes.push_back(std::move(process));
      (void)Apply(processes[i].state, wanted, now);
    }
  }

  bool Chance(unsigned per_cent) { return random() % 100 < per_cent; }

  void ApplyEvent(std::size_t index, const Event& event) {
    Process& process = processes[index];
    for (const Action& action : Apply(process.state, event, now)) {
      if (const auto* claim = std::get_if<Claim>(&action)) {
        const Millis delay =
            Chance(faults.late) ? Millis(random() % 9000) : Millis(0);
        writes.push_back({index, claim->record, now + kStep + delay});
      } else if (const auto* gained = std::get_if<Gained>(&action)) {
        RC_ASSERT(process.owned.emplace(gained->range, gained->epoch).second);
        const auto [place, is_new] =
            gained_by.try_emplace({gained->range, gained->epoch}, index);
        RC_ASSERT(is_new);  // one_owner_per_epoch
      } else if (const auto* lost = std::get_if<Lost>(&action)) {
        RC_ASSERT(process.owned.erase(lost->range) == 1);
      } else if (const auto* release = std::get_if<Release>(&action)) {
        process.releasing.push_back(release->range);
      }
    }
  }

  void Deliver(const Write& write) {
    auto end = ClaimAnswered::End::kUnavailable;
    if (store_up && !Chance(faults.lost)) {
      OwnerRecord& record = records[write.record.range];
      end = ClaimAnswered::End::kLost;
      if (record.revision == write.record.revision) {
        record = write.record;
        record.revision = ++revision;
        end = ClaimAnswered::End::kWritten;
      }
    } else if (Chance(50)) {
      end = ClaimAnswered::End::kUnknown;
    }
    if (Chance(faults.lost)) {
      end = ClaimAnswered::End::kUnknown;
    }
    if (processes[write.from].alive) {
      ApplyEvent(write.from, ClaimAnswered{write.record, end, revision});
    }
  }

  void Renew(std::size_t index) {
    OwnershipState& state = processes[index].state;
    const auto found = members.find(state.self.id);
    if (found == members.end()) {
      if (!state.lease_held) {
        Member self = state.self;
        self.incarnation = std::to_string(processes[index].next_incarnation++);
        members[self.id] = {self, now + kLeaseTtl};
        ++revision;
        ApplyEvent(index, Registered{self.incarnation, now});
      }
    } else if (found->second.member.incarnation == state.self.incarnation) {
      found->second.expires = now + kLeaseTtl;
      if (!Chance(faults.lost)) {
        ApplyEvent(index, LeaseRenewed{now});
      }
    }
  }

  void View(std::size_t index) {
    StoreView view{.read_at = now, .members = {}, .owners = {}};
    for (const auto& [range, record] : records) {
      if (record.revision > 0) {
        view.owners.push_back(record);
      }
    }
    for (const auto& [id, registration] : members) {
      view.members.push_back(registration.member);
    }
    processes[index].seen = revision;
    ApplyEvent(index, view);
  }

  void Run(std::size_t index) {
    Process& process = processes[index];
    if (!process.alive || now < process.paused_until) {
      return;
    }
    ApplyEvent(index, Tick{});
    for (const std::string& range :
         std::exchange(process.releasing, std::vector<std::string>())) {
      if (process.owned.erase(range) == 1) {
        ApplyEvent(index, Released{range});
      }
    }
    if (store_up && now >= process.next_renewal) {
      process.next_renewal = now + kRenewalInterval;
      Renew(index);
    }
    if (store_up && (now >= process.next_view || process.seen != revision)) {
      process.next_view = now + kViewInterval;
      View(index);
    }
  }

  void Step() {
    now += kStep;
    std::erase_if(members, [&](const auto& entry) {
      return now >= entry.second.expires;
    });
    std::vector<Write> due;
    std::erase_if(writes, [&](const Write& write) {
      if (write.due <= now) {
        due.push_back(write);
      }
      return write.due <= now;
    });
    for (const Write& write : due) {
      Deliver(write);
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
      Run(i);
    }
    Check();
  }

  void Check() {
    std::map<std::string, int> holders;
    for (const Process& process : processes) {
      for (const auto& [range, epoch] : process.owned) {
        holders[range] += now < LeaseExpiry(process.state) ? 1 : 0;
        if (process.alive && now >= process.paused_until) {
          const auto served = last_served.find(range);
          if (served != last_served.end()) {
            max_gap = std::max(max_gap, now - served->second);
          }
          last_served[range] = now;
        }
      }
    }
    for (const auto& [range, count] : holders) {
      RC_ASSERT(count <= 1);  // one_lease_holder
    }
  }

  void RunFor(Millis span) {
    for (const Time end = now + span; now < end;) {
      Step();
    }
  }

  void Kill(std::size_t index) {
    processes[index].alive = false;
    processes[index].owned.clear();
  }

  /// Whether every range has one owner, which is alive, is the wanted owner and
  /// matches the record.
  [[nodiscard]] bool IsSettled() const {
    std::size_t owned = 0;
    for (const Process& process : processes) {
      for (const auto& [range, epoch] : process.owned) {
        const OwnerRecord& record = records.at(range);
        const bool right =
            process.alive && record.epoch == epoch &&
            record.owner == process.state.self.id &&
            process.state.wanted_owners.at(range) == process.state.self.id;
        owned += right ? 1 : 1000;
      }
    }
    return owned == 24;
  }
};

void InjectFault(Simulation& simulation) {
  const std::size_t index = simulation.random() % simulation.processes.size();
  Process& process = simulation.processes[index];
  switch (simulation.random() % 5) {
    case 0:
      process.paused_until =
          simulation.now + Millis(simulation.random() % 15'000);
      break;
    case 1:
      simulation.store_up = false;
      break;
    case 2:
      simulation.store_up = true;
      break;
    case 3:
      if (process.alive && index > 0) {
        simulation.Kill(index);
      }
      break;
    default:
      break;
  }
}

class OwnershipFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipFaultsTest);
  CPPUNIT_TEST(InvariantsHoldUnderFaults);
  CPPUNIT_TEST(KilledOwnerIsReplacedInTime);
  CPPUNIT_TEST(StoppedOwnerIsReplacedInTime);
  CPPUNIT_TEST(StoreOutageMovesNoRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHoldUnderFaults() {
    const bool held = rc::check("one holder, one owner for each epoch", [] {
      Simulation simulation(4, *rc::gen::arbitrary<unsigned>());
      simulation.faults = {.lost = 20, .late = 20};
      for (int i = 0; i < 15; ++i) {
        InjectFault(simulation);
        simulation.RunFor(Millis(*rc::gen::inRange(100, 8000)));
      }
      simulation.faults = {};
      simulation.store_up = true;
      simulation.RunFor(Millis(15'000) + kSettleTime);
      RC_ASSERT(simulation.IsSettled());
    });
    CPPUNIT_ASSERT(held);
  }

  void KilledOwnerIsReplacedInTime() {
    Simulation simulation(7);
    simulation.RunFor(kSettleTime);
    CPPUNIT_ASSERT(simulation.IsSettled());
    simulation.max_gap = Millis(0);
    simulation.Kill(3);
    simulation.RunFor(kSettleTime);
    CPPUNIT_ASSERT(simulation.IsSettled());
    CPPUNIT_ASSERT(simulation.max_gap <= kMaxGapAfterKill);
  }

  void StoppedOwnerIsReplacedInTime() {
    Simulation simulation(7);
    simulation.RunFor(kSettleTime);
    CPPUNIT_ASSERT(simulation.IsSettled());
    simulation.max_gap = Millis(0);
    simulation.members.at("h3").member.leaving = true;
    ++simulation.revision;
    simulation.ApplyEvent(3, Leave{});
    simulation.RunFor(Millis(2000));
    CPPUNIT_ASSERT(OwnsNothing(simulation.processes[3].state));
    CPPUNIT_ASSERT(simulation.IsSettled());
    CPPUNIT_ASSERT(simulation.max_gap <= kMaxGapAfterStop);
  }

  /// No range moves while the store is unavailable, and each owner regains its
  /// ranges afterwards, although all leases have expired in the meantime.
  void StoreOutageMovesNoRange() {
    Simulation simulation(7);
    simulation.RunFor(kSettleTime);
    const auto before = simulation.gained_by.size();
    simulation.max_gap = Millis(0);
    simulation.store_up = false;
    simulation.RunFor(std::chrono::minutes(30));
    CPPUNIT_ASSERT_EQUAL(before, simulation.gained_by.size());
    CPPUNIT_ASSERT(simulation.IsSettled());
    simulation.store_up = true;
    simulation.RunFor(kSettleTime);
    CPPUNIT_ASSERT(simulation.IsSettled());
    CPPUNIT_ASSERT(simulation.max_gap <= kMaxGapAfterStop);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipFaultsTest);

}  // namespace
}  // namespace buckthornmux::member
