/// Settings of one entry host's process, read once from a JSON file.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::config {

/// Settings of one process. Every field is named in docs/OPERATIONS.md.
struct Settings {
  HostId host_id;  ///< Unique among the entry hosts.
  DataCentre data_centre;
  std::string http_address;  ///< IP:port for callers and operators.
  std::string peer_address;  ///< IP:port, TCP and UDP, for other entry hosts.
  std::vector<std::string> store_addresses;  ///< Tried in turn.
  std::string host_list_address;    ///< List of live and leaving hosts.
  std::string operator_key_sha256;  ///< Hex; the operators' bootstrap key.

  std::string log_dir;  ///< Empty: standard error.
  std::string log_level = "info";

  // Store and membership.
  Millis store_call_timeout{1000};
  Millis member_lease{6000};       ///< A silent process loses what it owns.
  Millis heartbeat_every{500};     ///< Between entry hosts, by UDP.
  Millis peer_silent_after{2500};  ///< Without a heartbeat.
  Millis view_every{500};          ///< Between reads of members and owners.
  Millis host_list_every{1000};    ///< Between reads of the host list.
  Millis journal_flush_every{50};  ///< Between two journal writes.
  Millis config_trust{3000};       ///< Keys are refused when the revision is
                                   ///< unconfirmed for longer.

  // Peers and targets.
  Millis peer_call_timeout{1000};
  Millis target_call_timeout{1000};
  Millis target_renew_every{2000};
  Millis task_lease{10'000};
  Millis target_unreachable_after{3000};

  // Front.
  Millis read_timeout{5000};
  Millis idle_timeout{60'000};
  Millis write_timeout{10'000};
  std::int64_t max_body_bytes = 1 << 20;
  std::int64_t max_connections = 4096;
  std::int64_t max_open_requests = 8192;

  // Shutdown.
  Millis drain_wait{3000};         ///< For the balancer to notice.
  Millis shutdown_within{30'000};  ///< Then the process ends anyway.

  // Policy.
  std::string target_guard = "epoch";  ///< What targets check: epoch, none.
  std::string policy = "fair";  ///< Or a baseline: first_fit, strict_priority.
};

/// One setting: where it is, in which unit and within which bounds.
struct SettingInfo {
  using Member = std::variant<std::string Settings::*,
                              std::vector<std::string> Settings::*,
                              std::int64_t Settings::*, Millis Settings::*>;
  std::string_view name;  ///< Field of the settings file.
  Member member;
  std::string_view unit;  ///< "ms", "bytes", "count", or a form of text.
  std::int64_t min = 0;   ///< Of numbers.
  std::int64_t max = 0;
  bool required = false;
};

/// @brief Every setting, in the order of docs/OPERATIONS.md.
[[nodiscard]] std::span<const SettingInfo> SettingTable();

/// @brief Default of a setting as docs/OPERATIONS.md shows it.
[[nodiscard]] std::string DefaultText(const SettingInfo& info);

/// @brief Parses and checks a settings file.
/// @param text JSON
/// @param file name shown in errors
/// @return the settings; kMalformed where it is no JSON; kConfigInvalid with
///   every problem, each with path and expected form
/// @par Example
/// @code
/// auto settings = ParseSettings(text, "entry-1.json");
/// @endcode
/// @see SettingTable
[[nodiscard]] Result<Settings> ParseSettings(std::string_view text,
                                             std::string_view file);

}  // namespace buckthornmux::config
