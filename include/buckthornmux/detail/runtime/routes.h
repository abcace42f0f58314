/// Who owns what, as read from the store: where the front and the owner duty
/// send work.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::runtime {

/// @brief Name of a partition's range in owner records.
[[nodiscard]] std::string PartitionRange(Partition partition);

/// @brief Name of a shard's range in owner records.
[[nodiscard]] std::string ShardRange(std::string_view shard);

/// A range name, taken apart.
struct RangeName {
  bool is_partition = false;
  Partition partition = 0;
  ShardId shard;
};

/// @brief Parses what PartitionRange and ShardRange make.
[[nodiscard]] RangeName ParseRange(std::string_view range);

/// One view of members and owners.
struct Routes {
  std::map<HostId, member::Member> members;
  std::map<std::string, member::OwnerRecord, std::less<>> owners;

  /// @brief Registered owner of a range.
  /// @return its record; null where there is none or it is not registered
  ///   under the record's incarnation
  [[nodiscard]] const member::OwnerRecord* OwnerOf(
      std::string_view range) const;
};

}  // namespace buckthornmux::runtime
