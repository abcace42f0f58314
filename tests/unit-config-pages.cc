// The pages for operators and callers are in step with the code's lists.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <string>
#include <vector>

#include "buckthornmux/detail/cli/command.h"
#include "buckthornmux/detail/config/settings.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::config {
namespace {

/// Table rows of a page's section that start with a prefix.
std::vector<std::string> Rows(const std::string& page,
                              const std::string& section,
                              const std::string& prefix) {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/" + page);
  CPPUNIT_ASSERT_MESSAGE(page, file.is_open());
  std::vector<std::string> rows;
  bool inside = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("## ")) {
      inside = line == "## " + section;
    } else if (inside && line.starts_with(prefix)) {
      rows.push_back(line);
    }
  }
  return rows;
}

/// Asserts that each row starts as expected and says something more.
void AssertRows(const std::vector<std::string>& expected,
                const std::vector<std::string>& rows) {
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CPPUNIT_ASSERT_MESSAGE("missing: " + expected[i], i < rows.size());
    CPPUNIT_ASSERT_EQUAL(expected[i], rows[i].substr(0, expected[i].size()));
    CPPUNIT_ASSERT_MESSAGE("says nothing: " + rows[i],
                           rows[i].size() > expected[i].size() + 4);
  }
  CPPUNIT_ASSERT_EQUAL(expected.size(), rows.size());
}

std::string RangeText(const SettingInfo& info) {
  return info.max == 0
             ? "-"
             : std::to_string(info.min) + " to " + std::to_string(info.max);
}

std::string DefaultCell(const SettingInfo& info) {
  const std::string text = DefaultText(info);
  if (info.required) {
    return "required";
  }
  return text.empty() ? "empty" : text;
}

std::string RetryText(Millis retry_after) {
  return retry_after == Millis(0) ? "-" : std::to_string(retry_after.count());
}

class PagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PagesTest);
  CPPUNIT_TEST(EverySettingIsDescribed);
  CPPUNIT_TEST(EveryErrorIsDescribed);
  CPPUNIT_TEST(EveryMetricIsDescribed);
  CPPUNIT_TEST(EveryCommandIsDescribed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EverySettingIsDescribed() {
    std::vector<std::string> expected;
    for (const SettingInfo& info : SettingTable()) {
      expected.push_back("| `" + std::string(info.name) + "` | " +
                         std::string(info.unit) + " | " + RangeText(info) +
                         " | " + DefaultCell(info) + " | ");
    }
    AssertRows(expected, Rows("OPERATIONS.md", "Settings", "| `"));
  }

  void EveryErrorIsDescribed() {
    std::vector<std::string> expected;
    for (const ErrorAnswer& row : ErrorTable()) {
      expected.push_back("| " + std::to_string(static_cast<int>(row.kind)) +
                         " | `" + std::string(row.name) + "` | " +
                         std::to_string(row.http_status) + " | " +
                         std::string(RanName(row.ran)) + " | " +
                         RetryText(row.retry_after) + " | " +
                         std::to_string(row.exit_code) + " | ");
    }
    auto rows = Rows("ERRORS.md", "Kinds", "| ");
    std::erase_if(rows, [](const std::string& row) {
      return row.find_first_of("0123456789") != 2;  // Head of the table.
    });
    AssertRows(expected, rows);
    for (std::size_t i = 0; i < rows.size(); ++i) {
      CPPUNIT_ASSERT(rows[i].find(ErrorTable()[i].advice) != std::string::npos);
    }
  }

  void EveryMetricIsDescribed() {
    std::vector<std::string> expected;
    const auto add = [&](std::string_view name) {
      expected.push_back("| `buckthornmux_" + std::string(name) + "` | ");
    };
    for (int i = 0; i < static_cast<int>(runtime::Counter::kCount); ++i) {
      add(CounterName(static_cast<runtime::Counter>(i)));
    }
    for (int i = 0; i < static_cast<int>(runtime::Gauge::kCount); ++i) {
      add(GaugeName(static_cast<runtime::Gauge>(i)));
    }
    for (int i = 0; i < static_cast<int>(runtime::Timing::kCount); ++i) {
      add(TimingName(static_cast<runtime::Timing>(i)));
    }
    AssertRows(expected, Rows("OPERATIONS.md", "Metrics", "| `"));
  }

  void EveryCommandIsDescribed() {
    std::vector<std::string> expected;
    for (const cli::Command& command : cli::CommandTable()) {
      expected.push_back("| `" + std::string(command.name) + "` | ");
    }
    AssertRows(expected, Rows("OPERATIONS.md", "Commands", "| `"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PagesTest);

}  // namespace
}  // namespace buckthornmux::config
