// The configuration in the store: lost answers, races, audit, keys.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/config/store_config.h"
#include "config_store_fake.h"

namespace buckthornmux::config {
namespace {

Config Small() {
  Config config;
  TargetSpec target{.id = "t1", .address = "10.0.0.1:80"};
  target.data_centre = "west-1";
  target.rack = "r1";
  target.host = "h1";
  target.shard = "west-1/1";
  target.capacity = {8, 16'000, 32'000, 0};
  target.labels = {"ssd"};
  config.targets = {target};
  config.teams = {{"north", 0.25, 96}, {"south", 0.75, 200}};
  WorkKind kind{.name = "preview"};
  kind.teams = {"north"};
  kind.demand = {1, 500, 256, 0};
  kind.expected_run = Millis(300);
  config.kinds = {kind};
  return config;
}

Config Changed(Config config, const std::string& who, const std::string& id) {
  AddAudit(config, {id, 1000, who, "apply", config.revision, who + " did it"});
  return config;
}

Outcome<Revision> Write(ConfigStoreFake& fake, const Config& config,
                        Revision expected) {
  return Capture(
      [&] { return StoreConfig(fake.Functions(), config, expected); });
}

Config Read(ConfigStoreFake& fake) {
  return std::get<Config>(
      Capture([&] { return LoadConfig(fake.Functions()); }));
}

class ConfigStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStoreTest);
  CPPUNIT_TEST(StoredFormReadsBackTheSame);
  CPPUNIT_TEST(OperatorsSeeNoHashes);
  CPPUNIT_TEST(LostAnswerIsRecognisedAsOwnWrite);
  CPPUNIT_TEST(LostAnswerUnderANewerChangeStillCounts);
  CPPUNIT_TEST(UnavailableIsSurelyNotWritten);
  CPPUNIT_TEST(UnknownStaysUnknownWhileTheStoreIsAway);
  CPPUNIT_TEST(ConflictShowsTheOthersChange);
  CPPUNIT_TEST(RandomFaultsNeverLieNorWriteTwice);
  CPPUNIT_TEST(AuditIsBounded);
  CPPUNIT_TEST(KeysMatchOnlyWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoredFormReadsBackTheSame() {
    const Config config = Changed(Small(), "anna", "c1");
    const std::string text = EncodeConfig(config);
    const auto read =
        std::get<Config>(Capture([&] { return DecodeConfig(text, 7); }));
    CPPUNIT_ASSERT_EQUAL(text, EncodeConfig(read));
    CPPUNIT_ASSERT_EQUAL(Revision{7}, read.revision);
    CPPUNIT_ASSERT_EQUAL(std::string("west-1/1"), read.targets.at(0).shard);
  }

  void OperatorsSeeNoHashes() {
    Config config = Small();
    const auto key =
        std::get<GrantedKey>(Capture([&] { return MakeKey(config, "north"); }));
    config.keys.push_back(key.stored);
    const std::string shown = EncodeForOperators(config);
    CPPUNIT_ASSERT(shown.find(key.stored.id) != std::string::npos);
    CPPUNIT_ASSERT(shown.find(key.stored.hash) == std::string::npos);
    CPPUNIT_ASSERT(shown.find(key.stored.salt) == std::string::npos);
    const auto decoded =
        std::get<Config>(Capture([&] { return DecodeConfig(shown, 1); }));
    CPPUNIT_ASSERT(MatchKey(decoded, key.text) == nullptr);
  }

  void LostAnswerIsRecognisedAsOwnWrite() {
    ConfigStoreFake fake;
    fake.faults.assign(10, PutFault::kLostAnswer);  // Of every write.
    const auto outcome = Write(fake, Changed(Small(), "anna", "c1"), 0);
    CPPUNIT_ASSERT_EQUAL(fake.last, std::get<Revision>(outcome));
    CPPUNIT_ASSERT_EQUAL(1, fake.puts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read(fake).audit.size());
  }

  void LostAnswerUnderANewerChangeStillCounts() {
    ConfigStoreFake fake;
    fake.faults = {PutFault::kLostAnswer};
    Revision ours = 0;
    fake.after_put = [&] {
      const Config current = Read(fake);
      ours = current.revision;
      Write(fake, Changed(current, "bert", "c2"), current.revision);
    };
    const auto outcome = Write(fake, Changed(Small(), "anna", "c1"), 0);
    CPPUNIT_ASSERT_EQUAL(ours, std::get<Revision>(outcome));
    CPPUNIT_ASSERT_EQUAL(std::string("bert"), Read(fake).audit.back().who);
  }

  void UnavailableIsSurelyNotWritten() {
    ConfigStoreFake fake;
    fake.faults = {PutFault::kUnavailable};
    const auto outcome = Write(fake, Changed(Small(), "anna", "c1"), 0);
    CPPUNIT_ASSERT(std::get<Error>(outcome).kind ==
                   ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT_EQUAL(1, fake.puts);
    CPPUNIT_ASSERT(!fake.entry);
  }

  void UnknownStaysUnknownWhileTheStoreIsAway() {
    ConfigStoreFake fake;
    fake.faults = {PutFault::kLostAnswer, PutFault::kUnavailable,
                   PutFault::kUnavailable};
    fake.after_put = [&] { fake.gets_fail = true; };
    const auto away = Write(fake, Changed(Small(), "anna", "c1"), 0);
    CPPUNIT_ASSERT(std::get<Error>(away).kind == ErrorKind::kStoreUnknown);
    ConfigStoreFake unreadable;
    unreadable.faults = {PutFault::kLostAnswer};
    unreadable.gets_fail = true;
    const auto unread = Write(unreadable, Changed(Small(), "anna", "c1"), 0);
    CPPUNIT_ASSERT(std::get<Error>(unread).kind == ErrorKind::kStoreUnknown);
  }

  void ConflictShowsTheOthersChange() {
    ConfigStoreFake fake;
    Write(fake, Changed(Small(), "anna", "c1"), 0);
    const Config base = Read(fake);
    Write(fake, Changed(base, "bert", "c2"), base.revision);
    const auto outcome =
        Write(fake, Changed(base, "anna", "c3"), base.revision);
    const Error& error = std::get<Error>(outcome);
    CPPUNIT_ASSERT(error.kind == ErrorKind::kConfigConflict);
    CPPUNIT_ASSERT(error.message.find("bert did it") != std::string::npos);
    CPPUNIT_ASSERT(error.message.find("anna did it") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("bert"), Read(fake).audit.back().who);
  }

  /// What the writer is told agrees with what the store holds, whatever is
  /// lost on the way.
  void RandomFaultsNeverLieNorWriteTwice() {
    const bool ok = rc::check("answers are true", [] {
      ConfigStoreFake fake;
      fake.faults = *rc::gen::container<std::deque<PutFault>>(
          rc::gen::element(PutFault::kNone, PutFault::kUnavailable,
                           PutFault::kLostRequest, PutFault::kLostAnswer));
      const int changes = *rc::gen::inRange(1, 8);
      for (int i = 0; i < changes; ++i) {
        const Config before = Read(fake);
        const std::string id = "c" + std::to_string(i);
        const auto outcome =
            Write(fake, Changed(before, "anna", id), before.revision);
        const Config after = Read(fake);
        const bool holds = !after.audit.empty() && after.audit.back().id == id;
        if (const auto* revision = std::get_if<Revision>(&outcome)) {
          RC_ASSERT(holds && *revision == after.revision);
        } else if (std::get<Error>(outcome).kind ==
                   ErrorKind::kStoreUnavailable) {
          RC_ASSERT(!holds && after.revision == before.revision);
        } else {
          RC_ASSERT(std::get<Error>(outcome).kind == ErrorKind::kStoreUnknown);
        }
        RC_ASSERT(after.audit.size() <= before.audit.size() + 1);
      }
    });
    CPPUNIT_ASSERT(ok);
  }

  void AuditIsBounded() {
    Config config;
    for (std::size_t i = 0; i < kMaxAuditEntries + 10; ++i) {
      AddAudit(config, {std::to_string(i), 0, "anna", "apply", i, "s"});
    }
    CPPUNIT_ASSERT_EQUAL(kMaxAuditEntries, config.audit.size());
    CPPUNIT_ASSERT_EQUAL(std::string("10"), config.audit.front().id);
    AddAudit(config,
             {"big", 0, "anna", "apply", 0, std::string(kMaxAuditBytes, 'x')});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, config.audit.size());
  }

  void KeysMatchOnlyWhole() {
    Config config = Small();
    const auto make = [&](const char* team) {
      return Capture([&] { return MakeKey(config, team); });
    };
    CPPUNIT_ASSERT(std::get<Error>(make("east")).kind == ErrorKind::kNotFound);
    const auto north = std::get<GrantedKey>(make("north"));
    const auto south = std::get<GrantedKey>(make("south"));
    config.keys = {north.stored, south.stored};
    CPPUNIT_ASSERT_EQUAL(TeamName("south"), MatchKey(config, south.text)->team);
    const std::string mixed =
        north.stored.id + south.text.substr(south.text.find('.'));
    for (const std::string& wrong :
         {std::string(), std::string("."), north.stored.id,
          north.stored.id + ".", north.text + "0", mixed,
          north.text.substr(0, north.text.size() - 1),
          north.stored.id + "." + north.stored.hash}) {
      CPPUNIT_ASSERT_MESSAGE(wrong, MatchKey(config, wrong) == nullptr);
    }
    CPPUNIT_ASSERT(EncodeConfig(config).find(north.text.substr(13)) ==
                   std::string::npos);
    CPPUNIT_ASSERT(IsOperatorKey(Sha256Hex("k1"), "k1"));
    CPPUNIT_ASSERT(!IsOperatorKey(Sha256Hex("k1"), "k2"));
    CPPUNIT_ASSERT(!IsOperatorKey(Sha256Hex(""), ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

}  // namespace
}  // namespace buckthornmux::config
