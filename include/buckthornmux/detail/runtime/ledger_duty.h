/// The ledger duty: allowances of teams for the owned shards.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "buckthornmux/detail/limits/ledger.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief State and step of the ledger duty; used by its thread alone.
class LedgerDuty {
 public:
  explicit LedgerDuty(Wiring& wiring);

  /// @brief Takes messages, changes the teams' records.
  /// @return when to be called again at the latest
  Time Step(std::vector<LedgerMessage> messages, Time now);

 private:
  struct Wish {
    std::int64_t slots = 0;
    std::int64_t in_use = 0;
  };
  struct Stored {
    limits::TeamGrants grants;
    Revision revision = 0;  ///< Of the key; 0: absent.
  };
  using WishKey = std::pair<TeamName, ShardId>;

  void Take(const GrantWanted& message);
  void Take(const LedgerShardGained& message);
  void Take(const LedgerShardLost& message);
  void Take(const ConfigChanged& message);

  /// True when the team's wishes are settled.
  bool Settle(const TeamName& team);
  Result<Stored> Read(const TeamName& team);
  Result<Stored> Write(const limits::TeamGrants& next, Revision expected);
  void Tell(const limits::TeamGrants& grants);
  [[nodiscard]] std::int64_t LimitOf(const TeamName& team) const;

  Wiring& m_wiring;
  ConfigPtr m_config = std::make_shared<const config::Config>();
  std::set<ShardId> m_shards;
  std::map<WishKey, Wish> m_wishes;      ///< Latest wish of each shard.
  std::set<TeamName> m_open;             ///< Teams whose record needs a look.
  std::map<TeamName, Stored> m_records;  ///< As last read or written.
  Time m_next_try;
};

}  // namespace buckthornmux::runtime
