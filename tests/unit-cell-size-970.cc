// Duration of decisions with 970 targets, the size expected in two years.
#include "cell_size.h"

namespace buckthornmux::tests {
namespace {

class LargeCellTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeCellTest);
  CPPUNIT_TEST(DecisionsAreQuickAt970Targets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecisionsAreQuickAt970Targets() {
    const DecisionFigures figures = MeasureDecisions(970);
    constexpr double kMaxMs = 1;
    CPPUNIT_ASSERT_MESSAGE(figures.Text(), figures.p99_ms <= kMaxMs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeCellTest);

}  // namespace
}  // namespace buckthornmux::tests
