// Random plays of recurring and wide jobs that are behind, with blocked steps,
// cancels, crashes and changes of the owner: all that is accepted is done, each
// task once. RECURRING_SEEDS plays that many seeds, from RECURRING_FIRST on.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr std::uint64_t kSeedsInCi = 8;
constexpr int kTargets = 8;
/// Maximum size of a value in the users' store, bytes.
constexpr std::size_t kMaxValue = 1'048'576;

std::uint64_t NumberFrom(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

using Random = std::mt19937_64;

int Pick(Random& random, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random);
}

std::string Text(std::string play, const std::string& what) {
  return play.append(": ").append(what);
}

/// How often the plays met what they are about.
struct Met {
  int shelved = 0;
  int unopened = 0;
  int cancelled = 0;
  int owners = 0;
  int tasks = 0;
};

cell::StepSpec DrawStep(Random& random, std::uint32_t number, bool wide) {
  cell::StepSpec step =
      PlainStep(static_cast<std::uint32_t>(wide ? Pick(random, 100, 400)
                                                : Pick(random, 1, 3)),
                std::int64_t{500} * Pick(random, 1, 4), Pick(random, 50, 400));
  if (number > 0 && Pick(random, 0, 1) == 0) {
    step.after = {number - 1};
  }
  if (Pick(random, 0, 3) == 0) {
    step.label = "rare";  // No target has it at first.
  }
  step.gang = step.count < 4 && Pick(random, 0, 4) == 0;
  step.checkpoints = Pick(random, 0, 3) == 0;
  return step;
}

cell::JobSpec DrawJob(Random& random, int number, std::int64_t now) {
  cell::JobSpec job = PlainJob("job-" + std::to_string(number));
  job.team = "team-" + std::to_string(number % 3);
  job.queue = Pick(random, 0, 3) == 0 ? "urgent" : "plain";
  const bool wide = Pick(random, 0, 3) == 0;
  job.steps.clear();
  for (std::uint32_t i = 0; i <= static_cast<std::uint32_t>(Pick(random, 0, 2));
       ++i) {
    job.steps.push_back(DrawStep(random, i, wide));
  }
  if (!wide) {
    const auto count = static_cast<std::uint32_t>(Pick(random, 50, 500));
    const Millis interval(Pick(random, 0, 2) == 0 ? 0 : Pick(random, 1, 60));
    job.recurrence = {now + Pick(random, -40'000, 3000), interval, count};
  }
  return job;
}

class RecurringRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecurringRandomTest);
  CPPUNIT_TEST(AllThatIsAcceptedIsDoneOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllThatIsAcceptedIsDoneOnce() {
    const std::uint64_t first = NumberFrom("RECURRING_FIRST", 1);
    const std::uint64_t count = NumberFrom("RECURRING_SEEDS", kSeedsInCi);
    Met met;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      Play(seed, met);
    }
    std::cout << count << " plays: " << met.tasks << " tasks done, "
              << met.owners << " changes of the owner, " << met.cancelled
              << " jobs cancelled; " << met.shelved << " with shelved and "
              << met.unopened << " with unopened occurrences\n";
    CPPUNIT_ASSERT(met.shelved > 0 && met.unopened > 0 && met.owners > 0);
  }

 private:
  static void Play(std::uint64_t seed, Met& met) {
    const std::string name = "seed " + std::to_string(seed);
    Random random(seed);
    WorldOptions options;
    options.seed = seed;
    options.targets = kTargets;
    World world(options);
    world.SetRules({PlainQueue("urgent", 0), PlainQueue("plain", 1)});
    world.RunUntil(world.NowTime() + Millis(300));
    const int jobs = Pick(random, 2, 5);
    for (int i = 0; i < jobs; ++i) {
      world.Submit(
          DrawJob(random, i, world.NowTime().time_since_epoch().count()));
    }
    for (int i = Pick(random, 2, 5); i > 0; --i) {
      world.RunUntil(world.NowTime() + Millis(Pick(random, 100, 5000)));
      Count(world, met);
      Disturb(world, random, jobs, met);
    }
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).entry.labels.emplace_back("rare");
      world.Resize(i, world.Target(i).entry.capacity, Millis(0));
    }
    // Less than the time for which ended jobs are kept, also the first of them.
    world.RunUntil(world.NowTime() + Millis(100'000));
    for (const std::string& breach : world.Breaches()) {
      CPPUNIT_FAIL(Text(name, breach));
    }
    for (const auto& [key, value] : world.Records()) {
      CPPUNIT_ASSERT_MESSAGE(Text(name, key), value.size() < kMaxValue);
    }
    for (int i = 0; i < jobs; ++i) {
      Check(world, "job-" + std::to_string(i), name, met);
    }
    const cell::Cell& state = world.State();
    CPPUNIT_ASSERT_MESSAGE(name, state.behind.empty() && state.ready.empty() &&
                                     state.recurring_steps == 0 &&
                                     state.run_count == 0);
  }

  static void Disturb(World& world, Random& random, int jobs, Met& met) {
    switch (Pick(random, 0, 3)) {
      case 0:
        world.ReplaceOwner(Millis(Pick(random, 50, 1500)));
        ++met.owners;
        break;
      case 1:
        world.HandOver(Millis(Pick(random, 20, 300)), Millis(50));
        ++met.owners;
        break;
      case 2:
        world.Cancel("job-" + std::to_string(Pick(random, 0, jobs - 1)));
        break;
      default:
        world.Target(Pick(random, 0, kTargets - 1)).faults.answers_lost = 0.1;
        break;
    }
  }

  static void Count(World& world, Met& met) {
    bool shelved = false;
    for (const auto& [id, job] : world.State().jobs) {
      shelved = shelved || !job.shelved.empty();
    }
    met.shelved += shelved ? 1 : 0;
    met.unopened += world.State().behind.empty() ? 0 : 1;
  }

  /// Each task of a job that wasn't cancelled has run.
  static void Check(World& world, const std::string& id,
                    const std::string& name, Met& met) {
    const standins::KnownJob& known = world.KnownJobs().at(id);
    if (known.cancelled || !known.accepted) {
      met.cancelled += known.cancelled ? 1 : 0;
      return;
    }
    CPPUNIT_ASSERT_MESSAGE(Text(name, id),
                           world.PhaseOf(id) == cell::JobPhase::kCompleted);
    const std::uint32_t times = std::max(1U, known.spec.recurrence.count);
    for (std::uint32_t k = 0; k < times; ++k) {
      for (std::uint32_t step = 0; step < known.spec.steps.size(); ++step) {
        for (std::uint32_t i = 0; i < known.spec.steps[step].count; ++i) {
          CPPUNIT_ASSERT_MESSAGE(Text(name, id),
                                 world.StartsOf({id, k, step, i}) > 0);
          ++met.tasks;
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecurringRandomTest);

}  // namespace
}  // namespace buckthornmux::tests
