/// The declared state: inventory, rules and keys, as one revision.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::config {

/// A team's part of the fleet.
struct Team {
  TeamName name;
  double share = 0;        ///< Weight when the cell is full; all add up to 1.
  std::int64_t limit = 0;  ///< Most slots it may use in the whole fleet.
};

/// A kind of work; each has one queue.
struct WorkKind {
  KindName name;
  WorkClass work_class = WorkClass::kUrgent;
  bool open_to_all = false;     ///< Taken without a key, for `team`.
  std::vector<TeamName> teams;  ///< Who may use it; the first is charged for
                                ///< open work.
  Resources demand;             ///< Default demand of a task.
  Millis expected_run{0};       ///< Default.
  std::vector<std::string> labels;  ///< A target must carry all of them.
};

/// A key granted to a team, stored as a salted hash.
struct TeamKey {
  std::string id;  ///< Public part, shown in `keys list`.
  TeamName team;
  std::string salt;  ///< Hex.
  std::string hash;  ///< Hex of the salted hash of the secret part.
};

/// One change of the declared state.
struct AuditEntry {
  std::string id;  ///< Random; a writer knows its own write by it.
  WallMillis at = 0;
  std::string who;      ///< As the operator called itself.
  std::string what;     ///< "apply", "grant" or "withdraw".
  Revision from = 0;    ///< Revision that was changed; the entry's own revision
                        ///< is the next entry's `from`, or the configuration's.
  std::string summary;  ///< What changed, one line.
};

/// Everything operators declare, under one revision number. The audit trail
/// travels inside, so that no change can be in force without its entry.
struct Config {
  Revision revision = 0;  ///< Of the store key that holds it; 0: none yet.
  std::vector<TargetSpec> targets;
  std::vector<Team> teams;
  std::vector<WorkKind> kinds;
  std::vector<TeamKey> keys;
  std::vector<AuditEntry> audit;  ///< Oldest first, bounded.
};

}  // namespace buckthornmux::config
