#include "buckthornmux/detail/config/settings.h"

#include <algorithm>
#include <array>

#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/net/address.h"

namespace buckthornmux::config {
namespace {

constexpr std::string_view kAddressForm = "IP:port";
constexpr std::string_view kHashForm = "64 hex digits";
constexpr std::string_view kLevelForm = "info, warning or error";
constexpr std::string_view kTextForm = "text";
constexpr std::string_view kGuardForm = "epoch or none";
constexpr std::string_view kPolicyForm = "fair, first_fit or strict_priority";
constexpr std::size_t kHashDigits = 64;
constexpr std::int64_t kHour = 3'600'000;  // Milliseconds.

using S = Settings;
const auto kSettings = std::to_array<SettingInfo>({
    {"host_id", &S::host_id, kTextForm, 0, 0, true},
    {"data_centre", &S::data_centre, kTextForm, 0, 0, true},
    {"http_address", &S::http_address, kAddressForm, 0, 0, true},
    {"peer_address", &S::peer_address, kAddressForm, 0, 0, true},
    {"store_addresses", &S::store_addresses, kAddressForm, 0, 0, true},
    {"host_list_address", &S::host_list_address, kAddressForm, 0, 0, true},
    {"operator_key_sha256", &S::operator_key_sha256, kHashForm, 0, 0, true},
    {"log_dir", &S::log_dir, kTextForm},
    {"log_level", &S::log_level, kLevelForm},
    {"store_call_timeout_ms", &S::store_call_timeout, "ms", 50, 10'000},
    {"member_lease_ms", &S::member_lease, "ms", 1000, 60'000},
    {"heartbeat_every_ms", &S::heartbeat_every, "ms", 50, 10'000},
    {"peer_silent_after_ms", &S::peer_silent_after, "ms", 200, 60'000},
    {"view_every_ms", &S::view_every, "ms", 100, 10'000},
    {"host_list_every_ms", &S::host_list_every, "ms", 100, 60'000},
    {"journal_flush_every_ms", &S::journal_flush_every, "ms", 5, 1000},
    {"config_trust_ms", &S::config_trust, "ms", 2000, kHour},
    {"peer_call_timeout_ms", &S::peer_call_timeout, "ms", 50, 10'000},
    {"target_call_timeout_ms", &S::target_call_timeout, "ms", 50, 10'000},
    {"target_renew_every_ms", &S::target_renew_every, "ms", 100, 30'000},
    {"task_lease_ms", &S::task_lease, "ms", 1000, kHour},
    {"target_unreachable_after_ms", &S::target_unreachable_after, "ms", 200,
     60'000},
    {"read_timeout_ms", &S::read_timeout, "ms", 100, 60'000},
    {"idle_timeout_ms", &S::idle_timeout, "ms", 1000, kHour},
    {"write_timeout_ms", &S::write_timeout, "ms", 100, 60'000},
    {"max_body_bytes", &S::max_body_bytes, "bytes", 1024, 64 << 20},
    {"max_connections", &S::max_connections, "count", 16, 65'536},
    {"max_open_requests", &S::max_open_requests, "count", 16, 1'000'000},
    {"drain_wait_ms", &S::drain_wait, "ms", 0, 60'000},
    {"shutdown_within_ms", &S::shutdown_within, "ms", 1000, kHour},
    {"target_guard", &S::target_guard, kGuardForm},
    {"policy", &S::policy, kPolicyForm},
});

/// Addresses are told to other hosts, so "any address" is none.
bool IsAddress(std::string_view text) {
  const auto outcome = Capture([&] { return net::ParseAddress(text); });
  const auto* address = std::get_if<net::Address>(&outcome);
  return address != nullptr && !address->ip.is_unspecified();
}

bool IsHash(std::string_view text) {
  return text.size() == kHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool HasForm(std::string_view form, std::string_view text) {
  if (form == kAddressForm) {
    return IsAddress(text);
  }
  if (form == kHashForm) {
    return IsHash(text);
  }
  if (form == kLevelForm) {
    return text == "info" || text == "warning" || text == "error";
  }
  if (form == kGuardForm) {
    return text == "epoch" || text == "none";
  }
  if (form == kPolicyForm) {
    return text == "fair" || text == "first_fit" || text == "strict_priority";
  }
  return true;
}

/// Reads one setting by its type.
struct SettingReader {
  const SettingInfo& info;
  ObjectReader& reader;
  Settings& settings;

  void operator()(std::string Settings::*member) const {
    if (info.required) {
      settings.*member = reader.RequiredString(info.name);
    } else {
      settings.*member = reader.String(info.name, settings.*member);
    }
    CheckForm(settings.*member);
  }
  void operator()(std::vector<std::string> Settings::*member) const {
    if (!reader.Has(info.name)) {
      reader.Report(info.name,
                    "missing: expected an array of " + std::string(info.unit));
    }
    settings.*member = reader.Strings(info.name);
    for (const std::string& text : settings.*member) {
      CheckForm(text);
    }
  }
  void operator()(std::int64_t Settings::*member) const {
    settings.*member = reader.Integer(
        info.name, {info.min, info.max, info.unit}, settings.*member);
  }
  void operator()(Millis Settings::*member) const {
    settings.*member =
        Millis(reader.Integer(info.name, {info.min, info.max, info.unit},
                              (settings.*member).count()));
  }

 private:
  void CheckForm(std::string_view text) const {
    if (!text.empty() && !HasForm(info.unit, text)) {
      reader.Report(info.name, "expected " + std::string(info.unit) +
                                   ", found \"" + std::string(text) + "\"");
    }
  }
};

struct DefaultTextOf {
  Settings defaults;

  std::string operator()(std::string Settings::*member) const {
    return defaults.*member;
  }
  std::string operator()(std::vector<std::string> Settings::* /*m*/) const {
    return {};
  }
  std::string operator()(std::int64_t Settings::*member) const {
    return std::to_string(defaults.*member);
  }
  std::string operator()(Millis Settings::*member) const {
    return std::to_string((defaults.*member).count());
  }
};

/// Relations between settings that keep a healthy process from being taken
/// for a dead one.
void CheckRelations(const Settings& settings, ObjectReader& reader) {
  if (settings.store_call_timeout * 2 > settings.member_lease) {
    reader.Report("member_lease_ms",
                  "expected at least twice store_call_timeout_ms, so that one "
                  "lost renewal does not end the lease");
  }
  if (settings.heartbeat_every * 3 > settings.peer_silent_after) {
    reader.Report("peer_silent_after_ms",
                  "expected at least three times heartbeat_every_ms");
  }
  if (settings.target_renew_every * 2 > settings.task_lease) {
    reader.Report("task_lease_ms",
                  "expected at least twice target_renew_every_ms");
  }
  // A service that falls silent is noticed by all hosts after two watches, the
  // time-out of the second one, and a heartbeat, which may be lost once. Keys
  // that are refused before that would be refused in every outage.
  const Millis outage_known = 2 * settings.view_every +
                              settings.store_call_timeout +
                              2 * settings.heartbeat_every;
  if (settings.config_trust < outage_known) {
    reader.Report("config_trust_ms",
                  "expected at least " + std::to_string(outage_known.count()) +
                      ": twice view_every_ms, store_call_timeout_ms and twice "
                      "heartbeat_every_ms");
  }
  if (settings.drain_wait >= settings.shutdown_within) {
    reader.Report("shutdown_within_ms", "expected more than drain_wait_ms");
  }
}

}  // namespace

std::span<const SettingInfo> SettingTable() { return kSettings; }

std::string DefaultText(const SettingInfo& info) {
  return std::visit(DefaultTextOf{}, info.member);
}

Result<Settings> ParseSettings(std::string_view text, std::string_view file) {
  BOOST_LEAF_AUTO(document, ParseJson(text, file));
  Problems problems;
  ObjectReader reader(document, file, "", problems);
  Settings settings;
  for (const SettingInfo& info : SettingTable()) {
    std::visit(SettingReader{info, reader, settings}, info.member);
  }
  reader.ReportUnknownFields();
  CheckRelations(settings, reader);
  if (!problems.empty()) {
    return FailWith(problems);
  }
  return settings;
}

}  // namespace buckthornmux::config
