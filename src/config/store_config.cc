#include "buckthornmux/detail/config/store_config.h"

#include <algorithm>
#include <ctime>
#include <string>
#include <variant>

#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::config {
namespace {

constexpr int kWriteTries = 3;
constexpr std::size_t kShownChanges = 5;
constexpr std::int64_t kMillisPerSecond = 1000;

/// Where a write of ours stands, by what the store holds now.
struct ReadBack {
  bool ours = false;
  Revision written = 0;  ///< Where ours.
  Config current;
};

Result<ReadBack> FindOwnWrite(const store::Store& store,
                              const std::string& change) {
  ReadBack result;
  BOOST_LEAF_ASSIGN(result.current, LoadConfig(store));
  const auto& audit = result.current.audit;
  const auto own = std::ranges::find(audit, change, &AuditEntry::id);
  if (own != audit.end()) {
    result.ours = true;
    result.written = RevisionOf(result.current,
                                static_cast<std::size_t>(own - audit.begin()));
  }
  return result;
}

boost::leaf::error_id Unknown() {
  return Fail(ErrorKind::kStoreUnknown,
              "the store took the change or not: look with `audit` before you "
              "apply again",
              std::string(store::kConfigKey));
}

/// The compare failed: by another's change, or by an earlier try of ours whose
/// answer was lost.
Result<Revision> EndConflict(const store::Store& store,
                             const std::string& change, Revision expected,
                             bool perhaps_written) {
  const auto outcome = Capture([&] { return FindOwnWrite(store, change); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return perhaps_written ? Unknown()
                           : Fail(error->kind, error->message, error->where);
  }
  const auto& found = std::get<ReadBack>(outcome);
  if (found.ours) {
    return found.written;
  }
  return ConfigConflict(found.current, expected);
}

std::size_t SizeOf(const AuditEntry& entry) {
  constexpr std::size_t kFieldNames = 80;
  return kFieldNames + entry.id.size() + entry.who.size() + entry.what.size() +
         entry.summary.size();
}

}  // namespace

Result<Config> LoadConfig(const store::Store& store) {
  BOOST_LEAF_AUTO(entry, store.get(store::kConfigKey));
  if (!entry) {
    return Config{};
  }
  return DecodeConfig(entry->value, entry->revision);
}

Result<Revision> StoreConfig(const store::Store& store, const Config& config,
                             Revision expected) {
  Invariant(!config.audit.empty() && config.audit.back().from == expected,
            "config_change_audited");
  const std::string change = config.audit.back().id;
  const std::string value = EncodeConfig(config);
  if (value.size() > kMaxStoredBytes) {
    return Fail(ErrorKind::kTooLarge,
                "the configuration takes " + std::to_string(value.size()) +
                    " bytes of " + std::to_string(kMaxStoredBytes) +
                    ": shorten labels and names");
  }
  bool perhaps_written = false;
  for (int tries = 0; tries < kWriteTries; ++tries) {
    const auto outcome = Capture([&] {
      return store.put(store::kConfigKey, value, expected, store::kNoLease);
    });
    if (const auto* revision = std::get_if<Revision>(&outcome)) {
      return *revision;
    }
    const Error& error = std::get<Error>(outcome);
    if (error.kind == ErrorKind::kStoreConflict) {
      return EndConflict(store, change, expected, perhaps_written);
    }
    perhaps_written |= error.kind != ErrorKind::kStoreUnavailable;
    if (!perhaps_written) {
      return Fail(error.kind, error.message, error.where);
    }
    // Without an answer, what the store holds tells. Where it holds neither,
    // trying again is safe: the compare lets one of the writes through at most.
    const auto held = Capture([&] { return FindOwnWrite(store, change); });
    const auto* found = std::get_if<ReadBack>(&held);
    if (found != nullptr && found->ours) {
      return found->written;
    }
    if (found != nullptr && found->current.revision != expected) {
      return ConfigConflict(found->current, expected);
    }
  }
  return Unknown();
}

boost::leaf::error_id ConfigConflict(const Config& current, Revision expected) {
  std::string changes;
  std::size_t shown = 0;
  for (std::size_t i = current.audit.size(); i-- > 0;) {
    const AuditEntry& entry = current.audit[i];
    if (RevisionOf(current, i) <= expected || shown == kShownChanges) {
      break;
    }
    changes += "; " + FormatAudit(entry, RevisionOf(current, i));
    ++shown;
  }
  return Fail(ErrorKind::kConfigConflict,
              "revision " + std::to_string(current.revision) +
                  " is in force, not " + std::to_string(expected) +
                  ": look at the other change with `diff`, then apply again" +
                  changes,
              std::string(store::kConfigKey));
}

Revision RevisionOf(const Config& config, std::size_t index) {
  return index + 1 < config.audit.size() ? config.audit[index + 1].from
                                         : config.revision;
}

void AddAudit(Config& config, AuditEntry entry) {
  config.audit.push_back(std::move(entry));
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < config.audit.size() && kept < kMaxAuditEntries) {
    bytes += SizeOf(config.audit[config.audit.size() - 1 - kept]);
    if (kept > 0 && bytes > kMaxAuditBytes) {
      break;
    }
    ++kept;
  }
  const auto dropped = static_cast<std::ptrdiff_t>(config.audit.size() - kept);
  config.audit.erase(config.audit.begin(), config.audit.begin() + dropped);
}

std::string FormatTime(WallMillis at) {
  const std::time_t seconds = at / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(std::size("2026-12-03T22:41:05Z") - 1, '\0');
  text.resize(std::strftime(text.data(), text.size() + 1, "%Y-%m-%dT%H:%M:%SZ",
                            &parts));
  return text;
}

std::string FormatAudit(const AuditEntry& entry, Revision to) {
  return FormatTime(entry.at) + " " + entry.who + " " + entry.what + " " +
         std::to_string(entry.from) + "->" + std::to_string(to) + ": " +
         entry.summary;
}

}  // namespace buckthornmux::config
