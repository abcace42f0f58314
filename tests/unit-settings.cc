// Settings of a process: bounds, relations, every problem at once.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "buckthornmux/detail/config/settings.h"

namespace buckthornmux::config {
namespace {

const std::string kHash(64, 'a');

std::string Whole(const std::string& more = {}) {
  return R"({"host_id":"entry-1","data_centre":"west-1",
    "http_address":"127.0.0.1:7001","peer_address":"127.0.0.1:7101",
    "store_addresses":["127.0.0.1:7200"],"host_list_address":"127.0.0.1:7201",
    "operator_key_sha256":")" +
         kHash + "\"" + more + "}";
}

Error ErrorOf(const std::string& text) {
  const auto outcome = Capture([&] { return ParseSettings(text, "s.json"); });
  CPPUNIT_ASSERT(std::holds_alternative<Error>(outcome));
  return std::get<Error>(outcome);
}

void AssertSays(const Error& error, const std::string& part) {
  CPPUNIT_ASSERT_MESSAGE(error.message + " lacks " + part,
                         error.message.find(part) != std::string::npos);
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(DefaultsLieWithinTheirBounds);
  CPPUNIT_TEST(EveryProblemIsReportedAtOnce);
  CPPUNIT_TEST(WrongUnitIsOutOfRange);
  CPPUNIT_TEST(RelationsAreChecked);
  CPPUNIT_TEST(AnyAddressIsNoAddress);
  CPPUNIT_TEST(NotJsonSaysWhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DefaultsLieWithinTheirBounds() {
    const auto outcome =
        Capture([] { return ParseSettings(Whole(), "s.json"); });
    CPPUNIT_ASSERT(std::holds_alternative<Settings>(outcome));
    std::set<std::string_view> names;
    for (const SettingInfo& info : SettingTable()) {
      CPPUNIT_ASSERT(names.insert(info.name).second);
      if (info.max > 0) {
        const auto value = std::stoll(DefaultText(info));
        CPPUNIT_ASSERT_MESSAGE(std::string(info.name),
                               value >= info.min && value <= info.max);
      }
    }
  }

  void EveryProblemIsReportedAtOnce() {
    const Error error = ErrorOf(R"({"host_id":7,"http_address":"here",
      "store_addresses":["127.0.0.1:1",3],"operator_key_sha256":"short",
      "log_level":"loud","heartbeat_ms":5})");
    CPPUNIT_ASSERT(error.kind == ErrorKind::kConfigInvalid);
    for (const char* path :
         {"s.json#/host_id: ", "#/data_centre: missing",
          "#/http_address: ", "#/peer_address: missing",
          "#/store_addresses/1: ", "#/operator_key_sha256: ", "#/log_level: ",
          "#/heartbeat_ms: unknown field"}) {
      AssertSays(error, path);
    }
  }

  void WrongUnitIsOutOfRange() {
    const Error error = ErrorOf(Whole(R"(,"member_lease_ms":10)"));
    AssertSays(error, "#/member_lease_ms: expected an integer (ms) of 1000");
    AssertSays(ErrorOf(Whole(R"(,"member_lease_ms":"10s")")),
               "#/member_lease_ms: expected an integer");
    AssertSays(ErrorOf(Whole(R"(,"member_lease_ms":1000.5)")),
               "#/member_lease_ms: expected an integer");
  }

  void RelationsAreChecked() {
    AssertSays(ErrorOf(Whole(
                   R"(,"member_lease_ms":3000,"store_call_timeout_ms":2000)")),
               "#/member_lease_ms: expected at least twice");
    AssertSays(ErrorOf(Whole(R"(,"config_trust_ms":2500)")),
               "#/config_trust_ms: expected at least 3000");
    AssertSays(ErrorOf(Whole(R"(,"peer_silent_after_ms":600)")),
               "#/peer_silent_after_ms: expected at least three times");
  }

  /// It would be told to other hosts, which can't call it.
  void AnyAddressIsNoAddress() {
    std::string text = Whole();
    text.replace(text.find("127.0.0.1:7101"), 9, "0.0.0.0");
    AssertSays(ErrorOf(text), "#/peer_address: expected IP:port");
  }

  void NotJsonSaysWhere() {
    const Error error = ErrorOf("{\n  \"host_id\": oops}");
    CPPUNIT_ASSERT(error.kind == ErrorKind::kMalformed);
    AssertSays(error, "line 2, column ");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace buckthornmux::config
