#include "buckthornmux/detail/runtime/routes.h"

#include <charconv>

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::runtime {
namespace {

constexpr std::string_view kPartitionPrefix = "partition/";
constexpr std::string_view kShardPrefix = "shard/";

}  // namespace

std::string PartitionRange(Partition partition) {
  return std::string(kPartitionPrefix) + std::to_string(partition);
}

std::string ShardRange(std::string_view shard) {
  return std::string(kShardPrefix) + std::string(shard);
}

RangeName ParseRange(std::string_view range) {
  RangeName name;
  if (range.starts_with(kShardPrefix)) {
    name.shard = range.substr(kShardPrefix.size());
    return name;
  }
  Invariant(range.starts_with(kPartitionPrefix), "range_name_known", range);
  const std::string_view digits = range.substr(kPartitionPrefix.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), name.partition);
  name.is_partition = true;
  return name;
}

const member::OwnerRecord* Routes::OwnerOf(std::string_view range) const {
  const auto found = owners.find(range);
  if (found == owners.end()) {
    return nullptr;
  }
  const member::OwnerRecord& record = found->second;
  const auto owner = members.find(record.owner);
  const bool registered =
      owner != members.end() && owner->second.incarnation == record.incarnation;
  return registered ? &record : nullptr;
}

}  // namespace buckthornmux::runtime
