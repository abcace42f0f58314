#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "segments.h"

namespace buckthornmux::home {
namespace {

namespace json = boost::json;
using Type = JournalRecord::Type;

/// An enumerator and its name in the journal.
template <class Value>
struct EnumName {
  Value value;
  std::string_view name;
};

constexpr auto kTypes = std::to_array<EnumName<Type>>({
    {Type::kAccepted, "accepted"},
    {Type::kIntent, "intent"},
    {Type::kEnded, "ended"},
    {Type::kJobEnded, "job_ended"},
    {Type::kCancelled, "cancelled"},
});
constexpr auto kEnds = std::to_array<EnumName<TaskEnd>>({
    {TaskEnd::kDone, "done"},
    {TaskEnd::kFailed, "failed"},
    {TaskEnd::kNotRun, "not_run"},
    {TaskEnd::kUnknown, "unknown"},
    {TaskEnd::kCancelled, "cancelled"},
});
constexpr auto kClasses = std::to_array<EnumName<WorkClass>>({
    {WorkClass::kUrgent, "urgent"},
    {WorkClass::kPatient, "patient"},
    {WorkClass::kService, "service"},
});

template <class Table, class Value>
std::string_view NameOf(const Table& table, Value value) {
  const auto* found = std::ranges::find_if(
      table, [&](const auto& row) { return row.value == value; });
  return found == table.end() ? std::string_view() : found->name;
}

/// Reads the members of a JSON object and records whether any was invalid.
class Reader {
 public:
  explicit Reader(const json::object& object) : m_object(object) {}

  [[nodiscard]] std::string Text(std::string_view name) {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string()) {
      m_valid = false;
      return {};
    }
    return std::string(value->get_string());
  }

  template <class Number>
  [[nodiscard]] Number Integer(std::string_view name, Number default_value) {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr) {
      return default_value;
    }
    boost::system::error_code error;
    const auto number = value->to_number<Number>(error);
    m_valid = m_valid && !error;
    return error ? default_value : number;
  }

  [[nodiscard]] bool Flag(std::string_view name) {
    const json::value* value = m_object.if_contains(name);
    m_valid = m_valid && (value == nullptr || value->is_bool());
    return value != nullptr && value->is_bool() && value->get_bool();
  }

  template <class Table, class Value>
  [[nodiscard]] Value Enumerator(const Table& table, std::string_view name,
                                 Value default_value) {
    if (!m_object.contains(name)) {
      return default_value;
    }
    const std::string text = Text(name);
    const auto* found = std::ranges::find_if(
        table, [&](const auto& row) { return row.name == text; });
    m_valid = m_valid && found != table.end();
    return found == table.end() ? default_value : found->value;
  }

  [[nodiscard]] std::vector<std::string> Texts(std::string_view name) {
    std::vector<std::string> texts;
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr) {
      return texts;
    }
    if (!value->is_array()) {
      m_valid = false;
      return texts;
    }
    for (const json::value& item : value->get_array()) {
      m_valid = m_valid && item.is_string();
      texts.emplace_back(item.is_string() ? item.get_string() : "");
    }
    return texts;
  }

  [[nodiscard]] bool Valid() const { return m_valid; }

 private:
  const json::object& m_object;
  bool m_valid = true;
};

/// Writes the members of a JSON object that differ from their defaults.
class Writer {
 public:
  void Text(std::string_view name, std::string_view text) {
    if (!text.empty()) {
      m_object[name] = text;
    }
  }
  template <class Number>
  void Integer(std::string_view name, Number number, Number default_value) {
    if (number != default_value) {
      m_object[name] = number;
    }
  }
  void Flag(std::string_view name, bool flag) {
    if (flag) {
      m_object[name] = true;
    }
  }
  [[nodiscard]] json::object Take() { return std::move(m_object); }

 private:
  json::object m_object;
};

json::object EncodeRequest(const JobRequest& request) {
  Writer writer;
  writer.Text("id", request.id);
  writer.Text("team", request.team);
  writer.Text("kind", request.kind);
  writer.Text("class", NameOf(kClasses, request.work_class));
  writer.Flag("idempotent", request.idempotent);
  writer.Flag("open_to_all", request.open_to_all);
  writer.Flag("all_at_once", request.all_at_once);
  writer.Integer("tasks", request.tasks, 1U);
  writer.Integer("slots", request.demand.slots, std::int64_t{0});
  writer.Integer("cpu_milli", request.demand.cpu_milli, std::int64_t{0});
  writer.Integer("memory_mb", request.demand.memory_mb, std::int64_t{0});
  writer.Integer("accelerators", request.demand.accelerators, std::int64_t{0});
  writer.Integer("expected_run_ms",
                 static_cast<std::int64_t>(request.expected_run.count()),
                 std::int64_t{0});
  writer.Integer("deadline", request.deadline, WallMillis{0});
  writer.Text("payload", request.payload);
  json::object object = writer.Take();
  if (!request.labels.empty()) {
    object["labels"] = json::value_from(request.labels);
  }
  return object;
}

Result<JobRequest> DecodeRequest(const json::object& object) {
  Reader reader(object);
  JobRequest request;
  request.id = reader.Text("id");
  request.team = reader.Text("team");
  request.kind = reader.Text("kind");
  request.work_class = reader.Enumerator(kClasses, "class", WorkClass::kUrgent);
  request.idempotent = reader.Flag("idempotent");
  request.open_to_all = reader.Flag("open_to_all");
  request.all_at_once = reader.Flag("all_at_once");
  request.tasks = reader.Integer("tasks", 1U);
  request.demand.slots = reader.Integer("slots", std::int64_t{0});
  request.demand.cpu_milli = reader.Integer("cpu_milli", std::int64_t{0});
  request.demand.memory_mb = reader.Integer("memory_mb", std::int64_t{0});
  request.demand.accelerators = reader.Integer("accelerators", std::int64_t{0});
  request.expected_run =
      Millis(reader.Integer("expected_run_ms", std::int64_t{0}));
  request.deadline = reader.Integer("deadline", WallMillis{0});
  request.payload = reader.Text("payload");
  request.labels = reader.Texts("labels");
  if (!reader.Valid() || request.id.empty()) {
    return Fail(ErrorKind::kMalformed, "journal record has an invalid request");
  }
  return request;
}

}  // namespace

std::string EncodeRecord(const JournalRecord& record) {
  Writer writer;
  writer.Text("type", NameOf(kTypes, record.type));
  writer.Text("team", record.team);
  writer.Text("job", record.job);
  writer.Integer("task", record.task, 0U);
  writer.Integer("attempt", record.attempt, 0U);
  writer.Text("shard", record.shard);
  writer.Integer("shard_epoch", record.shard_epoch, Epoch{0});
  if (record.end != TaskEnd::kDone) {
    writer.Text("end", NameOf(kEnds, record.end));
  }
  if (record.error != ErrorKind::kInternal) {
    writer.Text("error", AnswerFor(record.error).name);
  }
  writer.Text("result", record.result);
  writer.Integer("at", record.at, WallMillis{0});
  json::object object = writer.Take();
  if (!record.request.id.empty()) {
    object["request"] = EncodeRequest(record.request);
  }
  return json::serialize(object);
}

Result<JournalRecord> DecodeRecord(std::string_view text) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;  // Payloads are arbitrary bytes.
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, options);
  if (error) {
    return Fail(ErrorKind::kMalformed, "journal record is not valid JSON");
  }
  return DecodeRecordValue(value);
}

Result<JournalRecord> DecodeRecordValue(const json::value& value) {
  if (!value.is_object()) {
    return Fail(ErrorKind::kMalformed, "journal record is not a JSON object");
  }
  const json::object& object = value.get_object();
  Reader reader(object);
  JournalRecord record;
  record.type = reader.Enumerator(kTypes, "type", Type::kAccepted);
  record.team = reader.Text("team");
  record.job = reader.Text("job");
  record.task = reader.Integer("task", 0U);
  record.attempt = reader.Integer("attempt", 0U);
  record.shard = reader.Text("shard");
  record.shard_epoch = reader.Integer("shard_epoch", Epoch{0});
  record.end = reader.Enumerator(kEnds, "end", TaskEnd::kDone);
  if (object.contains("error")) {
    record.error = KindFromName(reader.Text("error"));
  }
  record.result = reader.Text("result");
  record.at = reader.Integer("at", WallMillis{0});
  const json::value* request = object.if_contains("request");
  if (!object.contains("type") || !reader.Valid() || record.job.empty() ||
      (request != nullptr && !request->is_object())) {
    return Fail(ErrorKind::kMalformed, "journal record has an invalid member");
  }
  if (request != nullptr) {
    BOOST_LEAF_ASSIGN(record.request, DecodeRequest(request->get_object()));
  }
  return record;
}

}  // namespace buckthornmux::home
