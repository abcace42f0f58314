#include "task_json.h"

#include <algorithm>
#include <array>

namespace buckthornmux::target {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> kClassNames{"urgent", "patient",
                                                      "service"};
constexpr std::array<std::string_view, 5> kEndNames{"done", "failed", "not_run",
                                                    "unknown", "cancelled"};

/// Reads an enumerator, whose value is its index in a list of names.
template <class T, std::size_t n>
void ReadEnum(JsonReader& reader, std::string_view name,
              const std::array<std::string_view, n>& names, T& out) {
  std::string text;
  reader.Read(name, text);
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) {
    reader.Fail(name);
    return;
  }
  out = static_cast<T>(found - names.begin());
}

void ReadMillis(JsonReader& reader, std::string_view name, Millis& out) {
  std::int64_t count = 0;
  reader.Read(name, count);
  out = Millis(count);
}

void ReadStrings(JsonReader& reader, std::string_view name,
                 std::vector<std::string>& out) {
  const auto* value = reader.Find(name);
  if (value == nullptr || !value->is_array()) {
    reader.Fail(name);
    return;
  }
  for (const json::value& item : value->as_array()) {
    if (!item.is_string()) {
      reader.Fail(name);
      return;
    }
    out.emplace_back(item.as_string());
  }
}

/// Copies an error of an inner object to the reader of the outer one.
void MergeError(JsonReader& outer, std::string_view name,
                const JsonReader& inner) {
  if (!inner.Failed().empty()) {
    outer.Fail(std::string(name) + "." + inner.Failed());
  }
}

}  // namespace

json::object ToJson(const Resources& resources) {
  return {{"slots", resources.slots},
          {"cpu_milli", resources.cpu_milli},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

json::object ToJson(const TaskSpec& task) {
  return {{"job", task.job},
          {"index", task.index},
          {"attempt", task.attempt},
          {"team", task.team},
          {"kind", task.kind},
          {"class", kClassNames.at(static_cast<std::size_t>(task.work_class))},
          {"idempotent", task.idempotent},
          {"open_to_all", task.open_to_all},
          {"demand", ToJson(task.demand)},
          {"expected_run_ms", task.expected_run.count()},
          {"deadline", task.deadline},
          {"gang_size", task.gang_size},
          {"labels", json::value_from(task.labels)},
          {"payload", task.payload}};
}

json::object ToJson(const sched::Home& home) {
  return {{"partition", home.partition},
          {"epoch", home.epoch},
          {"inquiry", home.inquiry}};
}

json::object ToJson(const sched::ReportedTask& task) {
  json::object object{{"id", task.id},
                      {"attempt", task.attempt},
                      {"epoch", task.epoch},
                      {"running", task.running},
                      {"task", ToJson(task.spec)},
                      {"home", ToJson(task.home)}};
  if (!task.running) {
    object["end"] = kEndNames.at(static_cast<std::size_t>(task.end));
    object["result"] = task.result;
  }
  return object;
}

void ReadResources(JsonReader& outer, std::string_view name, Resources& out) {
  JsonReader reader(outer.Find(name));
  reader.Read("slots", out.slots);
  reader.Read("cpu_milli", out.cpu_milli);
  reader.Read("memory_mb", out.memory_mb);
  reader.Read("accelerators", out.accelerators);
  MergeError(outer, name, reader);
}

void ReadTask(JsonReader& outer, std::string_view name, TaskSpec& out) {
  JsonReader reader(outer.Find(name));
  reader.Read("job", out.job);
  reader.Read("index", out.index);
  reader.Read("attempt", out.attempt);
  reader.Read("team", out.team);
  reader.Read("kind", out.kind);
  ReadEnum(reader, "class", kClassNames, out.work_class);
  reader.Read("idempotent", out.idempotent);
  reader.Read("open_to_all", out.open_to_all);
  ReadResources(reader, "demand", out.demand);
  ReadMillis(reader, "expected_run_ms", out.expected_run);
  reader.Read("deadline", out.deadline);
  reader.Read("gang_size", out.gang_size);
  ReadStrings(reader, "labels", out.labels);
  reader.Read("payload", out.payload);
  MergeError(outer, name, reader);
}

void ReadHome(JsonReader& outer, std::string_view name, sched::Home& out) {
  JsonReader reader(outer.Find(name));
  reader.Read("partition", out.partition);
  reader.Read("epoch", out.epoch);
  reader.Read("inquiry", out.inquiry);
  MergeError(outer, name, reader);
}

void ReadReportedTask(JsonReader& reader, sched::ReportedTask& out) {
  reader.Read("id", out.id);
  reader.Read("attempt", out.attempt);
  reader.Read("epoch", out.epoch);
  reader.Read("running", out.running);
  ReadTask(reader, "task", out.spec);
  ReadHome(reader, "home", out.home);
  if (!out.running) {
    ReadEnum(reader, "end", kEndNames, out.end);
    reader.Read("result", out.result);
  }
}

}  // namespace buckthornmux::target
