// Interference between kinds of tasks: what is found, what isn't, and what
// placement does with it.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "cell_world.h"
#include "plain_cell.h"
#include "src/cell/placement/interference.h"

namespace buckthornmux::tests {
namespace {

using cell::InterferenceTable;
using cell::KindNumber;

constexpr Time kBegin{Millis(1'000'000)};
constexpr Millis kBetweenSteps{100};
constexpr Millis kBetweenJudgements{500};
constexpr int kTasks = 8;
/// Tasks of a step differ by a third, and steps by a factor of ten and more.
constexpr double kTaskSpread = 0.3;
constexpr double kStepSpread = 1.5;
/// Share of tasks that have a given kind beside them.
constexpr double kBesideShare = 0.3;

/// A cell with one kind of tasks that are compared, beside other kinds.
struct Play {
  explicit Play(std::uint64_t seed, std::size_t others = 1) : random(seed) {
    kind = cell::KindOf(table, "queue", "kind", 1000, now);
    for (std::size_t i = 0; i < others; ++i) {
      beside.push_back(
          cell::KindOf(table, "queue", "beside-" + std::to_string(i), 1, now));
    }
  }

  /// Plays a step whose tasks take `factor` times as long beside the first of
  /// the other kinds. Short runs end first.
  void Step(const std::string& job, const std::string& team, double factor) {
    const double usual = kStepSpread * normal(random);
    std::vector<cell::StepRun> runs;
    for (int i = 0; i < kTasks; ++i) {
      cell::StepRun run{usual + kTaskSpread * normal(random), 0};
      for (const KindNumber other : beside) {
        run.beside |= share(random) < kBesideShare ? cell::SetOf(other) : 0;
      }
      run.log_time +=
          (run.beside & cell::SetOf(beside[0])) != 0 ? std::log(factor) : 0;
      runs.push_back(run);
    }
    std::ranges::sort(runs, {}, &cell::StepRun::log_time);
    for (std::size_t i = 0; i < runs.size(); ++i) {
      cell::Observe(table, kind, runs[i], std::span(runs).first(i), job, team,
                    now);
    }
    now += kBetweenSteps;
    if (now - table.judged_at >= kBetweenJudgements) {
      for (const cell::PairChange& change : cell::Age(table, now)) {
        ever_found = ever_found || change.found;
      }
    }
  }

  void Steps(int count, double factor) {
    for (int i = 0; i < count; ++i) {
      Step("job-" + std::to_string(i), "team-" + std::to_string(i % 8), factor);
    }
  }

  std::mt19937_64 random;
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> share;
  InterferenceTable table;
  Time now = kBegin;
  KindNumber kind = 0;
  std::vector<KindNumber> beside;
  bool ever_found = false;
};

constexpr int kTargets = 20;
constexpr int kNoisy = 8;

/// A cell in which some targets run tasks that others suffer from.
class NoisyWorld {
 public:
  explicit NoisyWorld(double factor, bool enabled = true)
      : m_world(WorldOptions{.targets = kTargets}) {
    m_world.State().options.interference = enabled;
    for (int i = 0; i < kTargets; ++i) {
      m_world.Target(i).pair = {"victim", "noisy", factor};
    }
    m_world.SetRules({PlainQueue("plain", 1)});
    m_world.RunUntil(m_world.NowTime() + Millis(300));
  }

  /// @brief Plays jobs of 20 tasks beside noisy ones, which change their
  ///   targets every 3 s. A target that always had one would look slow.
  /// @return share of the tasks that ran beside noisy ones in the last fifth
  double Run(int jobs) {
    int disturbed = 0;
    int all = 0;
    for (int i = 0; i < jobs; ++i) {
      constexpr int kNoisyEvery = 6;
      if (i % kNoisyEvery == 0) {
        SubmitNoisy(Millis(kNoisyEvery * 500 - 50));
      }
      cell::JobSpec job =
          PlainJob("victim-" + std::to_string(m_next++), kTargets, 200);
      job.steps[0].image = "victim";
      job.steps[0].max_per_target = 2;
      m_world.Submit(job);
      m_world.RunUntil(m_world.NowTime() + Millis(50));
      for (int target = 0; target < kTargets && i >= jobs * 4 / 5; ++target) {
        Count(m_world.Target(target), disturbed, all);
      }
      m_world.RunUntil(m_world.NowTime() + Millis(450));
    }
    return static_cast<double>(disturbed) / std::max(1, all);
  }

  [[nodiscard]] World& Sim() { return m_world; }
  [[nodiscard]] std::size_t Found() {
    return m_world.State().interference.found;
  }

  void SubmitNoisy(Millis lasts) {
    cell::JobSpec noisy = PlainJob("noisy-" + std::to_string(m_noisy), kNoisy,
                                   static_cast<int>(lasts.count()));
    noisy.steps[0].image = "noisy";
    noisy.steps[0].max_per_target = 1;
    noisy.steps[0].label =
        m_world.Target(m_noisy++ % 2 * kNoisy).entry.labels.back();
    m_world.Submit(noisy);
    m_world.RunUntil(m_world.NowTime() + Millis(50));
  }

 private:
  static void Count(const SimTarget& target, int& disturbed, int& all) {
    const auto is = [](std::string_view prefix) {
      return [prefix](const auto& entry) {
        return entry.first.task.job.starts_with(prefix);
      };
    };
    const auto victims =
        static_cast<int>(std::ranges::count_if(target.running, is("victim")));
    all += victims;
    disturbed += std::ranges::any_of(target.running, is("noisy")) ? victims : 0;
  }

  World m_world;
  int m_next = 0;
  int m_noisy = 0;
};

class InterferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterferenceTest);
  CPPUNIT_TEST(PlantedPairsAreFound);
  CPPUNIT_TEST(ChanceIsNotInterference);
  CPPUNIT_TEST(InterferenceIsForgotten);
  CPPUNIT_TEST(OneJobIsNoEvidence);
  CPPUNIT_TEST(HostileTeamKeepsNobodyAway);
  CPPUNIT_TEST(TableIsBounded);
  CPPUNIT_TEST(TasksAreSeparatedWhereThereIsRoom);
  CPPUNIT_TEST(TasksDontWaitForSeparation);
  CPPUNIT_TEST(NextOwnerLearnsAnew);
  CPPUNIT_TEST(NothingChangesWithoutInterference);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against interference that isn't found: a slowdown of 1.5 must be in
  // 95 of 100 plays after 800 runs, and only for the pair that has it.
  void PlantedPairsAreFound() {
    int found = 0;
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      Play play(seed, 3);
      play.Steps(100, 1.5);
      const double slowdown =
          cell::Slowdown(play.table, play.kind, play.beside[0]);
      found += slowdown > 1.25 && slowdown < 1.75 ? 1 : 0;
      wrong += play.table.found > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(found), found >= 95);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(wrong), wrong <= 3);
  }

  // Guards against interference by chance: at most 1 in 100 pairs, at any time
  // of 10,000 plays.
  void ChanceIsNotInterference() {
    constexpr int kPlays = 10'000;
    int found = 0;
    for (std::uint64_t seed = 1; seed <= kPlays; ++seed) {
      Play play(seed);
      play.Steps(100, 1);
      found += play.ever_found ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(found), found <= kPlays / 100);
  }

  // Guards against pairs that stay apart once nothing shows interference: after
  // 10 minutes without any, or 2 minutes in which it doesn't show.
  void InterferenceIsForgotten() {
    Play play(1);
    play.Steps(200, 1.5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, play.table.found);
    Play silent = play;
    (void)cell::Age(silent.table, silent.now + Millis(600'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, silent.table.found);
    CPPUNIT_ASSERT(silent.table.pairs.empty());
    play.Steps(1200, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, play.table.found);
  }

  // Guards against conclusions from a single job.
  void OneJobIsNoEvidence() {
    Play play(1);
    for (int i = 0; i < 200; ++i) {
      play.Step("job", "team", 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, play.table.found);
  }

  // Guards against a team that makes its tasks look disturbed to keep those of
  // others away from them.
  void HostileTeamKeepsNobodyAway() {
    Play play(1);
    for (int i = 0; i < 200; ++i) {
      play.Step("hostile-" + std::to_string(i), "hostile", 4);
      play.Step("honest-" + std::to_string(i), "team-" + std::to_string(i % 8),
                1);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, cell::Disturbance(play.table, play.beside[0],
                                                cell::SetOf(play.kind)));
    Play several(1);
    several.Steps(200, 1.5);
    CPPUNIT_ASSERT(cell::Disturbance(several.table, several.beside[0],
                                     cell::SetOf(several.kind)) > 0);
  }

  // Guards against memory without bound, and against kinds that keep their
  // places for ever.
  void TableIsBounded() {
    InterferenceTable table;
    for (int i = 0; i < 200; ++i) {
      const KindNumber kind =
          cell::KindOf(table, "queue", std::to_string(i), 1, kBegin);
      CPPUNIT_ASSERT_EQUAL(i < 63, kind != 0);
    }
    for (std::size_t i = 1; i < cell::kMaxKinds; ++i) {
      const cell::StepRun all{1, ~cell::KindSet{1}};
      const cell::StepRun none{0, 0};
      cell::Observe(table, static_cast<KindNumber>(i), all, {&none, 1}, "job",
                    "team", kBegin);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, table.pairs.size());
    CPPUNIT_ASSERT(cell::KindOf(table, "queue", "later", 1,
                                kBegin + Millis(130'000)) != 0);
  }

  // Guards against tasks beside those that slow them down while other targets
  // have room.
  void TasksAreSeparatedWhereThereIsRoom() {
    NoisyWorld world(1.6);
    const double first = world.Run(5);
    const double last = world.Run(60);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(first), first > 0.2);
    CPPUNIT_ASSERT(world.Sim().LastDecision("interference_found") != nullptr);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(last), last <= 0.05);
  }

  // Guards against work that waits because only disturbed targets have room.
  void TasksDontWaitForSeparation() {
    NoisyWorld world(1.6);
    world.Run(60);
    CPPUNIT_ASSERT(world.Found() > 0);
    world.SubmitNoisy(Millis(10'000));
    constexpr int kAll = 250;  // The fleet holds 312 beside the noisy ones.
    world.Sim().Submit(PlainJob("victim-all", kAll, 5000));
    world.Sim().RunUntil(world.Sim().NowTime() + Millis(1000));
    std::size_t runs = 0;
    for (int i = 0; i < kTargets; ++i) {
      runs += world.Sim().Target(i).running.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAll + kNoisy}, runs);
  }

  // Guards against an owner that depends on what a former one has learnt.
  void NextOwnerLearnsAnew() {
    NoisyWorld world(1.6);
    world.Run(60);
    CPPUNIT_ASSERT(world.Found() > 0);
    world.Sim().ReplaceOwner(Millis(500));
    world.Sim().RunUntil(world.Sim().NowTime() + Millis(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.Found());
    world.Run(60);
    CPPUNIT_ASSERT(world.Found() > 0);
    CPPUNIT_ASSERT(world.Sim().Breaches().empty());
  }

  // Guards against an effect where nothing interferes: all starts must be those
  // of a cell without this part.
  void NothingChangesWithoutInterference() {
    NoisyWorld with(1);
    NoisyWorld without(1, false);
    for (int i = 0; i < 40; ++i) {
      with.Run(1);
      without.Run(1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, with.Found());
      for (int target = 0; target < kTargets; ++target) {
        CPPUNIT_ASSERT_EQUAL(without.Sim().Target(target).sequence,
                             with.Sim().Target(target).sequence);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceTest);

}  // namespace
}  // namespace buckthornmux::tests
