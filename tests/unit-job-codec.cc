// Callers' JSON: what is refused, with which path; teams and keys.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/front/job_codec.h"

namespace buckthornmux::front {
namespace {

constexpr WallMillis kNow = 1'000'000;

config::Config Declared() {
  config::Config config;
  config::WorkKind preview;
  preview.name = "preview";
  preview.teams = {"clerks"};
  preview.demand.slots = 1;
  config::WorkKind open = preview;
  open.name = "open";
  open.open_to_all = true;
  config.kinds = {preview, open};
  return config;
}

Error Refused(std::string_view text) {
  const auto outcome =
      Capture([&] { return ParseJob(text, Declared(), kNow); });
  const auto* error = std::get_if<Error>(&outcome);
  CPPUNIT_ASSERT(error != nullptr);
  return *error;
}

class JobCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobCodecTest);
  CPPUNIT_TEST(TakesDefaultsFromTheKind);
  CPPUNIT_TEST(NamesThePathOfEachFault);
  CPPUNIT_TEST(HostileBodiesAreRefused);
  CPPUNIT_TEST(TeamComesFromTheKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakesDefaultsFromTheKind() {
    const auto outcome = Capture([] {
      return ParseJob(R"({"id":"a","kind":"preview","deadline_ms":1900})",
                      Declared(), kNow);
    });
    const auto& job = std::get<home::JobRequest>(outcome);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, job.demand.slots);
    CPPUNIT_ASSERT(!job.idempotent);
    CPPUNIT_ASSERT_EQUAL(kNow + 1900, job.deadline);
  }

  void NamesThePathOfEachFault() {
    CPPUNIT_ASSERT_EQUAL(std::string("/id"),
                         Refused(R"({"kind":"preview"})").where);
    CPPUNIT_ASSERT_EQUAL(
        std::string("/deadline"),
        Refused(R"({"id":"a","kind":"preview","deadline":5})").where);
    CPPUNIT_ASSERT_EQUAL(
        std::string("/demand/slots"),
        Refused(R"({"id":"a","kind":"preview","demand":{"slots":0}})").where);
    CPPUNIT_ASSERT_EQUAL(
        std::string("/tasks"),
        Refused(R"({"id":"a","kind":"preview","tasks":1e9})").where);
    CPPUNIT_ASSERT(Refused(R"({"id":"a","kind":"none"})").kind ==
                   ErrorKind::kKindRefused);
  }

  void HostileBodiesAreRefused() {
    for (const std::string& text :
         {std::string(), std::string("[]"), std::string("{\"id\":"),
          std::string(100'000, '['),
          R"({"id":")" + std::string(200, 'x') + R"(","kind":"preview"})"}) {
      const ErrorKind kind = Refused(text).kind;
      CPPUNIT_ASSERT(kind == ErrorKind::kMalformed ||
                     kind == ErrorKind::kTooLarge);
    }
  }

  void TeamComesFromTheKey() {
    const config::Config config = Declared();
    const config::WorkKind& preview = *FindKind(config, "preview");
    const config::WorkKind& open = *FindKind(config, "open");
    const config::TeamKey clerks{"k1", "clerks"};
    const config::TeamKey others{"k2", "others"};
    const auto team = [](const config::WorkKind& kind,
                         const config::TeamKey* key) {
      return Capture([&] { return TeamFor(kind, key); });
    };
    CPPUNIT_ASSERT_EQUAL(std::string("clerks"),
                         std::get<TeamName>(team(preview, &clerks)));
    CPPUNIT_ASSERT(std::get<Error>(team(preview, nullptr)).kind ==
                   ErrorKind::kKeyRefused);
    CPPUNIT_ASSERT(std::get<Error>(team(preview, &others)).kind ==
                   ErrorKind::kKindRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("clerks"),
                         std::get<TeamName>(team(open, nullptr)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobCodecTest);

}  // namespace
}  // namespace buckthornmux::front
