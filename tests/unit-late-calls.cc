// Guards against REFUSED (review/7): a forwarded call that a cut holds back
// must have no effect after its caller was told that it has none.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "call_world.h"

namespace buckthornmux::tests {
namespace {

/// Number in an environment variable.
int FromEnvironment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoi(text);
}

class LateCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCallsTest);
  CPPUNIT_TEST(RefusedCallsHaveNoEffect);
  CPPUNIT_TEST_SUITE_END();

 public:
  // LATE_CALL_SEEDS=N plays more, LATE_CALL_FIRST=K starts at another seed.
  void RefusedCallsHaveNoEffect() {
    const int first = FromEnvironment("LATE_CALL_FIRST", 1);
    const int seeds = FromEnvironment("LATE_CALL_SEEDS", 60);
    CallWorldResult total;
    int red = 0;
    for (int seed = first; seed < first + seeds; ++seed) {
      CallWorldOptions options;
      options.seed = static_cast<std::uint64_t>(seed);
      options.hosts = 2 + seed % 3;
      const CallWorldResult play = CallWorld(options).Play();
      red += play.faults.empty() ? 0 : 1;
      total.jobs += play.jobs;
      total.done += play.done;
      total.refused += play.refused;
      total.unknown += play.unknown;
      total.stale += play.stale;
      total.refused_last += play.refused_last;
      total.epochs += play.epochs;
      total.faults.insert(total.faults.end(), play.faults.begin(),
                          play.faults.end());
    }
    std::cout << "\nplays " << seeds << ", red " << red << "; jobs "
              << total.jobs << ", accepted " << total.done
              << ", refused in all answers " << total.refused
              << "; answers of unknown outcome " << total.unknown
              << "; stale calls " << total.stale
              << "; exist though last refused " << total.refused_last
              << "; epochs " << total.epochs << '\n';
    for (std::size_t i = 0; i < std::min<std::size_t>(10, total.faults.size());
         ++i) {
      std::cout << total.faults[i] << '\n';
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total.faults.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateCallsTest);

}  // namespace
}  // namespace buckthornmux::tests
