#include "buckthornmux/detail/target/target_codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include "task_json.h"

namespace buckthornmux::target {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 7> kRefusalNames{
    "stale_epoch", "too_late", "full",     "duplicate",
    "stopped",     "leaving",  "malformed"};

/// Parses a body; null if it is not JSON.
json::value ParseBody(std::string_view body) {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  return error ? json::value() : value;
}

/// Returns the value, or an error with the first invalid member.
template <class T>
Result<T> CheckedResult(const JsonReader& reader, T value) {
  if (!reader.Failed().empty()) {
    return Fail(ErrorKind::kMalformed, "member is missing or has another type",
                reader.Failed());
  }
  return value;
}

void ReadMillis(JsonReader& reader, std::string_view name, Millis& out) {
  std::int64_t count = 0;
  reader.Read(name, count);
  out = Millis(count);
}

void ReadTasks(JsonReader& reader, std::vector<sched::ReportedTask>& out) {
  const auto* tasks = reader.Find("tasks");
  if (tasks == nullptr || !tasks->is_array()) {
    reader.Fail("tasks");
    return;
  }
  for (const json::value& item : tasks->as_array()) {
    JsonReader inner(&item);
    ReadReportedTask(inner, out.emplace_back());
    if (!inner.Failed().empty()) {
      reader.Fail("tasks." + inner.Failed());
    }
  }
}

}  // namespace

std::string_view RefusalName(Refusal refusal) {
  return kRefusalNames.at(static_cast<std::size_t>(refusal));
}

Refusal ParseRefusal(std::string_view body) {
  const json::value value = ParseBody(body);
  JsonReader reader(&value);
  std::string name;
  reader.Read("error", name);
  const auto found =
      std::find(kRefusalNames.begin(), kRefusalNames.end(), name);
  return found == kRefusalNames.end()
             ? Refusal::kMalformed
             : static_cast<Refusal>(found - kRefusalNames.begin());
}

std::string FormatStart(const StartRequest& request) {
  return json::serialize(json::object{{"shard", request.shard},
                                      {"epoch", request.epoch},
                                      {"start_by", request.start_by},
                                      {"lease_ms", request.lease.count()},
                                      {"task", ToJson(request.task)},
                                      {"home", ToJson(request.home)}});
}

std::string FormatStop(const StopRequest& request) {
  return json::serialize(json::object{{"shard", request.shard},
                                      {"epoch", request.epoch},
                                      {"task_id", request.task_id},
                                      {"attempt", request.attempt},
                                      {"checkpoint", request.checkpoint}});
}

std::string FormatThrottle(const ThrottleRequest& request) {
  return json::serialize(json::object{{"shard", request.shard},
                                      {"epoch", request.epoch},
                                      {"task_id", request.task_id},
                                      {"percent", request.percent}});
}

std::string FormatRenew(const RenewRequest& request) {
  return json::serialize(json::object{{"shard", request.shard},
                                      {"epoch", request.epoch},
                                      {"lease_ms", request.lease.count()},
                                      {"wait_ms", request.wait.count()},
                                      {"instance", request.instance},
                                      {"after", request.after}});
}

std::string FormatRenewAnswer(const RenewAnswer& answer) {
  json::array tasks;
  for (const sched::ReportedTask& task : answer.tasks) {
    tasks.push_back(ToJson(task));
  }
  return json::serialize(json::object{{"instance", answer.instance},
                                      {"sequence", answer.sequence},
                                      {"full", answer.full},
                                      {"leaving", answer.leaving},
                                      {"used", ToJson(answer.used)},
                                      {"tasks", std::move(tasks)}});
}

Result<StartRequest> ParseStart(std::string_view body) {
  const json::value value = ParseBody(body);
  JsonReader reader(&value);
  StartRequest request;
  reader.Read("shard", request.shard);
  reader.Read("epoch", request.epoch);
  reader.Read("start_by", request.start_by);
  ReadMillis(reader, "lease_ms", request.lease);
  ReadTask(reader, "task", request.task);
  ReadHome(reader, "home", request.home);
  return CheckedResult(reader, std::move(request));
}

Result<StopRequest> ParseStop(std::string_view body) {
  const json::value value = ParseBody(body);
  JsonReader reader(&value);
  StopRequest request;
  reader.Read("shard", request.shard);
  reader.Read("epoch", request.epoch);
  reader.Read("task_id", request.task_id);
  reader.Read("attempt", request.attempt);
  reader.Read("checkpoint", request.checkpoint);
  return CheckedResult(reader, std::move(request));
}

Result<ThrottleRequest> ParseThrottle(std::string_view body) {
  const json::value value = ParseBody(body);
  JsonReader reader(&value);
  ThrottleRequest request;
  reader.Read("shard", request.shard);
  reader.Read("epoch", request.epoch);
  reader.Read("task_id", request.task_id);
  reader.Read("percent", request.percent);
  return CheckedResult(reader, std::move(request));
}

Result<RenewRequest> ParseRenew(std::string_view body) {
  const json::value value = ParseBody(body);
  JsonReader reader(&value);
  RenewRequest request;
  reader.Read("shard", request.shard);
  reader.Read("epoch", request.epoch);
  ReadMillis(reader, "lease_ms", request.lease);
  ReadMillis(reader, "wait_ms", request.wait);
  reader.Read("instance", request.instance);
  reader.Read("after", request.after);
  return CheckedResult(reader, std::move(request));
}

Result<RenewAnswer> ParseRenewAnswer(std::string_view body) {
  const json::value value = ParseBody(body);
  JsonReader reader(&value);
  RenewAnswer answer;
  reader.Read("instance", answer.instance);
  reader.Read("sequence", answer.sequence);
  reader.Read("full", answer.full);
  reader.Read("leaving", answer.leaving);
  ReadResources(reader, "used", answer.used);
  ReadTasks(reader, answer.tasks);
  return CheckedResult(reader, std::move(answer));
}

}  // namespace buckthornmux::target
