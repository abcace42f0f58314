// Operators' calls against the store: nothing half applied, races, audit.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/json.hpp>

#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/config/operator_api.h"
#include "buckthornmux/detail/config/store_config.h"
#include "config_store_fake.h"

namespace buckthornmux::config {
namespace {

namespace json = boost::json;

constexpr WallMillis kNow = 1'764'800'000'000;

std::string Body(Revision expected, const std::string& who, int limit = 10) {
  return R"({"expected_revision":)" + std::to_string(expected) + R"(,"who":")" +
         who + R"(","inventory":{"targets":[{"id":"t1",
         "address":"10.0.0.1:80","data_centre":"west-1","rack":"r1","host":"h1",
         "slots":8,"cpu_milli":1,"memory_mb":1}]},"rules":{"teams":[
         {"name":"north","share":1,"limit_slots":)" +
         std::to_string(limit) + R"(}],"kinds":[{"name":"preview",
         "class":"urgent","teams":["north"]}]}})";
}

/// The fake and the calls on it.
struct Calls {
  ConfigStoreFake fake;

  Outcome<std::string> Post(const std::string& body) {
    return Capture(
        [&] { return PostConfigCall(fake.Functions(), body, kNow); });
  }
  Outcome<std::string> Grant(const std::string& team) {
    return Capture([&] {
      return GrantKeyCall(fake.Functions(),
                          R"({"team":")" + team + R"(","who":"anna"})", kNow);
    });
  }
  Outcome<std::string> Withdraw(const std::string& id,
                                const std::string& who = "anna") {
    return Capture(
        [&] { return WithdrawKeyCall(fake.Functions(), id, who, kNow); });
  }
  Config Current() {
    return std::get<Config>(
        Capture([&] { return LoadConfig(fake.Functions()); }));
  }
};

json::object Parsed(const Outcome<std::string>& outcome) {
  if (const auto* error = std::get_if<Error>(&outcome)) {
    CPPUNIT_FAIL(error->message);
  }
  return json::parse(std::get<std::string>(outcome)).as_object();
}

ErrorKind KindOf(const Outcome<std::string>& outcome) {
  CPPUNIT_ASSERT(std::holds_alternative<Error>(outcome));
  return std::get<Error>(outcome).kind;
}

class OperatorApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(BadRequestsChangeNothing);
  CPPUNIT_TEST(LaterOperatorIsShownTheEarlierChange);
  CPPUNIT_TEST(SameDocumentsWriteNothing);
  CPPUNIT_TEST(KeysSurviveRacesAndAreWithdrawn);
  CPPUNIT_TEST(LostGrantIsKnownAsOwn);
  CPPUNIT_TEST(AuditTellsEveryChangeInOrder);
  CPPUNIT_TEST(StoreAwayIsSaidAsNotApplied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BadRequestsChangeNothing() {
    Calls calls;
    for (
        const char* body :
        {"", "[]", "{}", R"({"expected_revision":"0","who":"anna"})",
         R"({"expected_revision":0,"who":"a\nb","inventory":{},"rules":{}})"}) {
      const ErrorKind kind = KindOf(calls.Post(body));
      CPPUNIT_ASSERT(kind == ErrorKind::kMalformed ||
                     kind == ErrorKind::kConfigInvalid);
    }
    const auto limit = calls.Post(Body(0, "anna", 0));
    CPPUNIT_ASSERT(std::get<Error>(limit).message.find(
                       "rules#/teams/0/limit_slots") != std::string::npos);
    CPPUNIT_ASSERT(KindOf(calls.Grant("north")) == ErrorKind::kNotFound);
    CPPUNIT_ASSERT_EQUAL(0, calls.fake.puts);
  }

  void LaterOperatorIsShownTheEarlierChange() {
    Calls calls;
    Parsed(calls.Post(Body(0, "anna")));
    const Revision base = calls.Current().revision;
    Parsed(calls.Post(Body(base, "bert", 20)));
    const auto late = calls.Post(Body(base, "carl", 30));
    CPPUNIT_ASSERT(KindOf(late) == ErrorKind::kConfigConflict);
    const std::string& message = std::get<Error>(late).message;
    CPPUNIT_ASSERT(message.find("bert apply") != std::string::npos);
    CPPUNIT_ASSERT(message.find("limit_slots 10 -> 20") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, calls.Current().teams[0].limit);
    // Not a revision of the configuration, but one of the store.
    const auto between = calls.Post(Body(base + 1, "carl", 30));
    CPPUNIT_ASSERT(std::get<Error>(between).message.find("bert apply") !=
                   std::string::npos);
  }

  void SameDocumentsWriteNothing() {
    Calls calls;
    const auto first = Parsed(calls.Post(Body(0, "anna")));
    const Revision revision = calls.Current().revision;
    const auto again = Parsed(calls.Post(Body(revision, "anna")));
    CPPUNIT_ASSERT(first.at("revision") == again.at("revision"));
    CPPUNIT_ASSERT_EQUAL(1, calls.fake.puts);
  }

  void KeysSurviveRacesAndAreWithdrawn() {
    Calls calls;
    Parsed(calls.Post(Body(0, "anna")));
    const auto key = Parsed(calls.Grant("north"));
    // Between this grant's read and its write another one lands.
    int gets = 0;
    store::Store racing = calls.fake.Functions();
    racing.get = [&](std::string_view name) {
      auto entry = calls.fake.Functions().get(name);
      if (++gets == 1) {
        Parsed(calls.Grant("north"));
      }
      return entry;
    };
    const auto raced = Capture([&] {
      return GrantKeyCall(racing, R"({"team":"north","who":"bert"})", kNow);
    });
    Parsed(raced);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, calls.Current().keys.size());
    const std::string text(key.at("key").as_string());
    CPPUNIT_ASSERT(MatchKey(calls.Current(), text) != nullptr);
    const std::string id(key.at("id").as_string());
    CPPUNIT_ASSERT(KindOf(calls.Withdraw(id, "")) == ErrorKind::kConfigInvalid);
    Parsed(calls.Withdraw(id));
    CPPUNIT_ASSERT(MatchKey(calls.Current(), text) == nullptr);
    CPPUNIT_ASSERT(KindOf(calls.Withdraw(id)) == ErrorKind::kNotFound);
    Parsed(calls.Post(Body(calls.Current().revision, "anna", 20)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, calls.Current().keys.size());
  }

  void LostGrantIsKnownAsOwn() {
    Calls calls;
    Parsed(calls.Post(Body(0, "anna")));
    calls.fake.faults = {PutFault::kLostAnswer};
    const auto key = Parsed(calls.Grant("north"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.Current().keys.size());
    CPPUNIT_ASSERT(MatchKey(calls.Current(),
                            std::string(key.at("key").as_string())) != nullptr);
  }

  void AuditTellsEveryChangeInOrder() {
    Calls calls;
    Parsed(calls.Post(Body(0, "anna")));
    const auto key = Parsed(calls.Grant("north"));
    Parsed(calls.Withdraw(std::string(key.at("id").as_string()), "bert"));
    const auto audit =
        Parsed(Capture([&] { return ListAuditCall(calls.fake.Functions()); }));
    const json::array& entries = audit.at("entries").as_array();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, entries.size());
    const char* whats[] = {"apply", "grant", "withdraw"};
    for (std::size_t i = 0; i < entries.size(); ++i) {
      CPPUNIT_ASSERT(entries[i].at("what") == whats[i]);
      const bool last = i + 1 == entries.size();
      const json::value& next =
          last ? audit.at("revision") : entries[i + 1].at("from");
      CPPUNIT_ASSERT(entries[i].at("to").to_number<Revision>() ==
                     next.to_number<Revision>());
    }
    const std::string text = json::serialize(audit);
    CPPUNIT_ASSERT(text.find(key.at("key").as_string().subview(13)) ==
                   std::string::npos);
  }

  void StoreAwayIsSaidAsNotApplied() {
    Calls calls;
    calls.fake.gets_fail = true;
    CPPUNIT_ASSERT(KindOf(calls.Post(Body(0, "anna"))) ==
                   ErrorKind::kStoreUnavailable);
    calls.fake.gets_fail = false;
    calls.fake.faults = {PutFault::kUnavailable};
    CPPUNIT_ASSERT(KindOf(calls.Post(Body(0, "anna"))) ==
                   ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT_EQUAL(Revision{0}, calls.Current().revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

}  // namespace
}  // namespace buckthornmux::config
