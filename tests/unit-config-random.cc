// Randomised runs: damaged documents, and operators who race while the store
// loses requests and answers.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <sstream>

#include "buckthornmux/detail/config/check.h"
#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/config/operator_api.h"
#include "buckthornmux/detail/config/plan.h"
#include "buckthornmux/detail/config/store_config.h"
#include "config_store_fake.h"

namespace buckthornmux::config {
namespace {

constexpr std::size_t kMaxDamages = 3;

std::string Sample(const std::string& name) {
  std::ifstream file(std::string(SOURCE_DIR) + "/samples/rijksbureau/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Replaces a short span by text of the kind that documents are made of.
std::string Damaged(std::string text) {
  const std::size_t damages = *rc::gen::inRange<std::size_t>(1, kMaxDamages);
  for (std::size_t i = 0; i < damages; ++i) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    const std::size_t length = *rc::gen::inRange<std::size_t>(0, 8);
    const auto piece = *rc::gen::element<std::string>(
        "", "0", "-1", "1e400", "9223372036854775808", "\"", "\"\"", "{", "}",
        "[", "]", ",", ":", "null", "true", "\\u0000", "nl-west-2", "/", "~");
    text.replace(at, length, piece);
  }
  return text;
}

void AssertSound(const Config& config) {
  std::map<ShardId, std::size_t> sizes;
  for (const TargetSpec& target : config.targets) {
    RC_ASSERT(target.shard.starts_with(target.data_centre + "/"));
    RC_ASSERT(++sizes[target.shard] <= kMaxTargetsPerShard);
    RC_ASSERT(target.capacity.slots > 0);
  }
  double shares = 0;
  for (const Team& team : config.teams) {
    shares += team.share;
    RC_ASSERT(team.limit > 0);
  }
  RC_ASSERT(std::abs(shares - 1) < 1e-3);
  for (const WorkKind& kind : config.kinds) {
    RC_ASSERT(!kind.teams.empty());
  }
}

/// One operator's call and what it was told.
struct Told {
  std::string who;
  bool done = false;
  ErrorKind error = ErrorKind::kInternal;
};

/// Operators on one store; some calls fall between another's read and write.
struct Race {
  ConfigStoreFake fake;
  std::string inventory = Sample("inventory.json");
  std::string rules = Sample("rules.json");
  std::vector<Told> told;
  std::vector<bool> interleave;  ///< By put.
  std::size_t puts = 0;
  bool nested = false;

  store::Store Functions() {
    store::Store functions = fake.Functions();
    functions.put = [this](std::string_view key, std::string_view value,
                           Revision expected, store::LeaseId /*lease*/) {
      const bool other =
          !nested && puts < interleave.size() && interleave[puts];
      ++puts;
      if (other) {
        nested = true;
        Grant();
        nested = false;
      }
      return fake.Put(key, value, expected);
    };
    return functions;
  }

  void Note(const std::string& who, const Outcome<std::string>& outcome) {
    const auto* error = std::get_if<Error>(&outcome);
    told.push_back({who, error == nullptr,
                    error == nullptr ? ErrorKind::kInternal : error->kind});
  }
  std::string NextWho() const { return "op" + std::to_string(told.size()); }

  void Grant() {
    const std::string who = NextWho() + (nested ? "-nested" : "");
    Note(who, Capture([&] {
           return GrantKeyCall(Functions(),
                               R"({"team":"archive","who":")" + who + "\"}", 0);
         }));
  }
  void Apply(std::int64_t limit, Revision expected) {
    const std::string who = NextWho();
    const std::string limited =
        std::string(rules).replace(rules.find("\"limit_slots\": 128"), 18,
                                   "\"limit_slots\": " + std::to_string(limit));
    const std::string body =
        R"({"expected_revision":)" + std::to_string(expected) + R"(,"who":")" +
        who + R"(","inventory":)" + inventory + R"(,"rules":)" + limited + "}";
    Note(who, Capture([&] { return PostConfigCall(Functions(), body, 0); }));
  }
};

class ConfigRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigRandomTest);
  CPPUNIT_TEST(DamagedDocumentsAreRefusedOrSound);
  CPPUNIT_TEST(OperatorsAreToldTheTruth);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DamagedDocumentsAreRefusedOrSound() {
    const std::string inventory = Sample("inventory.json");
    const std::string rules = Sample("rules.json");
    const bool ok = rc::check("refused or sound", [&] {
      const bool damage_rules = *rc::gen::arbitrary<bool>();
      const std::vector<Document> documents = {
          {"i", damage_rules ? inventory : Damaged(inventory)},
          {"r", damage_rules ? Damaged(rules) : rules}};
      const auto outcome = Capture([&] { return PlanApply({}, documents); });
      if (const auto* error = std::get_if<Error>(&outcome)) {
        RC_ASSERT(error->kind == ErrorKind::kConfigInvalid);
        RC_ASSERT(!error->message.empty());
        return;
      }
      const auto& config = std::get<Config>(outcome);
      AssertSound(config);
      const std::string text = EncodeConfig(config);
      const auto again = Capture([&] { return DecodeConfig(text, 1); });
      RC_ASSERT(EncodeConfig(std::get<Config>(again)) == text);
    });
    CPPUNIT_ASSERT(ok);
  }

  /// Whoever is told "done" stands in the audit trail once, whoever is told
  /// "not applied" does not, and no entry is without its change.
  void OperatorsAreToldTheTruth() {
    const bool ok = rc::check("told the truth", [] {
      Race race;
      race.Apply(100, 0);
      race.fake.faults = *rc::gen::container<std::deque<PutFault>>(
          rc::gen::weightedElement<PutFault>({{4, PutFault::kNone},
                                              {1, PutFault::kUnavailable},
                                              {1, PutFault::kLostRequest},
                                              {2, PutFault::kLostAnswer}}));
      race.interleave = *rc::gen::arbitrary<std::vector<bool>>();
      const int calls = *rc::gen::inRange(1, 8);
      Revision seen = race.fake.last;
      for (int i = 0; i < calls; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
          race.Grant();
        } else {
          race.Apply(101 + i, seen);
        }
        if (*rc::gen::arbitrary<bool>()) {
          seen = race.fake.entry->revision;  // Looks again.
        }
      }
      const Config end = std::get<Config>(
          Capture([&] { return LoadConfig(race.fake.Functions()); }));
      std::size_t grants = 0;
      for (std::size_t i = 0; i < end.audit.size(); ++i) {
        RC_ASSERT(end.audit[i].from < RevisionOf(end, i));
        grants += end.audit[i].what == "grant" ? 1U : 0U;
      }
      RC_ASSERT(grants == end.keys.size());
      for (const Told& told : race.told) {
        const auto entries =
            std::ranges::count(end.audit, told.who, &AuditEntry::who);
        if (told.done) {
          RC_ASSERT(entries == 1);
        } else if (told.error == ErrorKind::kStoreUnknown) {
          RC_ASSERT(entries <= 1);
        } else {
          RC_ASSERT(entries == 0);
        }
      }
    });
    CPPUNIT_ASSERT(ok);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigRandomTest);

}  // namespace
}  // namespace buckthornmux::config
