// What one caller hands in takes bounded memory, records and rounds: what is
// accepted is done, and what can't be is refused at once.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cell_world.h"
#include "heap_gauge.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 8;
/// An eighth of the memory of an entry host of the users' first deployments.
constexpr std::size_t kMaxMemory = 32 * kMegabyte;
/// Maximum size of a value in the users' store, bytes.
constexpr std::size_t kMaxValue = 1'048'576;
constexpr std::uint32_t kMaxTasks = 10'000;  ///< Of one step.
constexpr std::size_t kMaxSteps = 64;

WorldOptions Options() {
  WorldOptions options;
  options.targets = kTargets;
  return options;
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

void OpenWorld(World& world) {
  world.SetRules({PlainQueue("plain", 1)});
  Run(world, Millis(300));
}

/// A job with as many steps as are allowed.
cell::JobSpec ManySteps(const std::string& id, std::uint32_t tasks,
                        std::int64_t cpu) {
  cell::JobSpec job = PlainJob(id, tasks, 500);
  job.steps[0].demand = {0, cpu, 0, 0};
  job.steps.resize(kMaxSteps, job.steps[0]);
  return job;
}

std::size_t LargestRecord(const World& world) {
  std::size_t largest = 0;
  for (const auto& [key, value] : world.Records()) {
    largest = std::max(largest, value.size());
  }
  return largest;
}

/// Whether jobs of another team, one each 500 ms, are done in time beside what
/// the world does.
bool OthersAreServed(World& world, const std::string& name) {
  constexpr int kJobs = 6;
  for (int i = 0; i < kJobs; ++i) {
    cell::JobSpec job = PlainJob(name + std::to_string(i), 2, 500);
    job.team = "others";
    world.Submit(job);
    Run(world, Millis(500));
  }
  Run(world, Millis(2500));
  int served = 0;
  for (int i = 0; i < kJobs; ++i) {
    served += world.PhaseOf(name + std::to_string(i)) ==
                      cell::JobPhase::kCompleted
                  ? 1
                  : 0;
  }
  return served == kJobs;
}

class JobMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobMemoryTest);
  CPPUNIT_TEST(ManyTasksTakeBoundedMemory);
  CPPUNIT_TEST(WideStepRunsToItsEndOverSeveralOwners);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/5, without a recurrence: guards against a small body whose tasks
  // take an owner over its memory.
  void ManyTasksTakeBoundedMemory() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    for (int i = 0; i < 3; ++i) {
      world.Submit(ManySteps("wide-" + std::to_string(i), kMaxTasks, 1000));
    }
    Run(world, Millis(2000));
    CPPUNIT_ASSERT(world.Starts() > 0);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    world.ReplaceOwner(Millis(500));
    Run(world, Millis(9000));
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    CPPUNIT_ASSERT(LargestRecord(world) < kMaxValue);
  }

  // The other side: all tasks run, each once.
  void WideStepRunsToItsEndOverSeveralOwners() {
    constexpr std::uint32_t kCount = 1500;
    World world(Options());
    OpenWorld(world);
    world.Submit(PlainJob("wide", kCount, 300));
    for (int i = 0; i < 2; ++i) {
      Run(world, Millis(900));
      world.ReplaceOwner(Millis(300));
      Run(world, Millis(6500));
    }
    CPPUNIT_ASSERT(world.PhaseOf("wide") == cell::JobPhase::kCompleted);
    for (std::uint32_t i = 0; i < kCount; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, world.StartsOf({"wide", 0, 0, i}));
    }
    CPPUNIT_ASSERT(world.Breaches().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobMemoryTest);

}  // namespace
}  // namespace buckthornmux::tests
