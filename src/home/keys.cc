#include <openssl/sha.h>

#include <array>
#include <charconv>
#include <span>

#include "steps.h"

namespace buckthornmux::home {
namespace {

constexpr std::size_t kHashBytesUsed = 8;

}  // namespace

Partition PartitionOf(std::string_view team, std::string_view request_id) {
  const std::string text = KeyOf(team, request_id);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::uint64_t number = 0;
  for (const unsigned char byte : std::span(digest).first<kHashBytesUsed>()) {
    number = (number << 8U) | byte;
  }
  return static_cast<Partition>(number % kPartitions);
}

std::string KeyOf(std::string_view team, std::string_view job) {
  std::string key;
  key.reserve(team.size() + 1 + job.size());
  key.append(team).append("/").append(job);
  return key;
}

std::string KeyOf(const Job& job) {
  return KeyOf(job.request.team, job.request.id);
}

std::optional<TaskName> ParseTaskId(std::string_view id) {
  const std::size_t slash = id.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  TaskName name{std::string(id.substr(0, slash)), 0};
  const char* const end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data() + slash + 1, end, name.index);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return name;
}

PartitionState* FindPartition(HomeState& state, Partition partition) {
  const auto found = state.partitions.find(partition);
  return found == state.partitions.end() ? nullptr : &found->second;
}

Job* FindJobByKey(PartitionState& partition, const std::string& key) {
  const auto found = partition.jobs.find(key);
  return found == partition.jobs.end() ? nullptr : &found->second;
}

bool SameWork(const JobRequest& one, const JobRequest& other) {
  return one.id == other.id && one.team == other.team &&
         one.kind == other.kind && one.work_class == other.work_class &&
         one.idempotent == other.idempotent &&
         one.all_at_once == other.all_at_once && one.tasks == other.tasks &&
         one.demand == other.demand && one.labels == other.labels &&
         one.payload == other.payload;
}

bool IsGang(const Job& job) {
  return job.request.all_at_once && job.tasks.size() > 1;
}

}  // namespace buckthornmux::home
