/// The ledger duty: reads and writes the teams' records of allowances for the
/// owned shards. What a shard may use is decided by the owner duty.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "buckthornmux/detail/limits/ledger.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief State and step of the ledger duty; used by its thread alone.
class LedgerDuty {
 public:
  explicit LedgerDuty(Wiring& wiring);

  /// @brief Takes messages, reads and writes records.
  /// @return when to be called again at the latest
  Time Step(std::vector<LedgerMessage> messages, Time now);

 private:
  struct Stored {
    limits::TeamGrants grants;
    Revision revision = 0;  ///< Of the key; 0: absent.
  };
  struct Team {
    std::optional<Stored> record;  ///< As last read or written.
    std::set<ShardId> open;        ///< Shards whose allowance needs a look.
    bool asked = false;            ///< The owner duty has it.
    Time next_try;
  };

  void Take(const GrantWanted& message, Time now);
  void Take(const GrantWrite& message, Time now);
  void Take(const GrantSettled& message, Time now);
  void Take(const LedgerShardGained& message, Time now);
  void Take(const LedgerShardLost& message, Time now);
  void Take(const ConfigChanged& message, Time now);
  void Take(const StateRead& message, Time now);

  void OpenAll(const ShardId& shard);
  void Advance(const TeamName& name, Team& team, Time now);
  [[nodiscard]] Result<Stored> Read(const TeamName& team) const;

  Wiring& m_wiring;
  std::set<ShardId> m_shards;
  std::map<TeamName, Team> m_teams;
};

}  // namespace buckthornmux::runtime
