#include "buckthornmux/detail/front/job_codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "buckthornmux/detail/config/codec.h"

namespace buckthornmux::front {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxAmount = 1'000'000'000;

/// Reads fields of one object; each failure names its path.
class Fields {
 public:
  Fields(const json::object& object, std::string path)
      : m_object(object), m_path(std::move(path)) {}

  /// Fails on a field that is not in the list.
  [[nodiscard]] Result<bool> OnlyKnown(
      std::span<const std::string_view> known) const {
    for (const auto& field : m_object) {
      const std::string_view key = field.key();
      if (std::ranges::find(known, key) == known.end()) {
        return Fail(ErrorKind::kUnknownField,
                    "no such field: " + std::string(field.key()),
                    Path(field.key()));
      }
    }
    return true;
  }

  [[nodiscard]] Result<std::string> Text(std::string_view name, std::size_t min,
                                         std::size_t max) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr && min == 0) {
      return std::string();
    }
    if (value == nullptr || !value->is_string()) {
      return Expected(name, "a string");
    }
    const auto& text = value->get_string();
    if (text.size() < min || text.size() > max) {
      return Fail(
          text.size() > max ? ErrorKind::kTooLarge : ErrorKind::kMalformed,
          "expected " + std::to_string(min) + " to " + std::to_string(max) +
              " bytes",
          Path(name));
    }
    return std::string(text);
  }

  [[nodiscard]] Result<std::int64_t> Number(std::string_view name,
                                            std::int64_t fallback,
                                            std::int64_t min,
                                            std::int64_t max) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_int64() || value->get_int64() < min ||
        value->get_int64() > max) {
      return Expected(name, "a whole number from " + std::to_string(min) +
                                " to " + std::to_string(max));
    }
    return value->get_int64();
  }

  [[nodiscard]] Result<bool> Flag(std::string_view name, bool fallback) const {
    const json::value* value = m_object.if_contains(name);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_bool()) {
      return Expected(name, "true or false");
    }
    return value->get_bool();
  }

  [[nodiscard]] const json::value* Find(std::string_view name) const {
    return m_object.if_contains(name);
  }

  boost::leaf::error_id Expected(std::string_view name,
                                 const std::string& form) const {
    return Fail(ErrorKind::kMalformed, "expected " + form, Path(name));
  }

 private:
  [[nodiscard]] std::string Path(std::string_view name) const {
    return m_path + "/" + std::string(name);
  }

  const json::object& m_object;
  std::string m_path;
};

constexpr auto kJobFields = std::to_array<std::string_view>(
    {"id", "kind", "idempotent", "class", "deadline_ms", "all_at_once", "tasks",
     "demand", "expected_run_ms", "payload"});
constexpr auto kDemandFields = std::to_array<std::string_view>(
    {"slots", "cpu_milli", "memory_mb", "accelerators"});

Result<Resources> ParseDemand(const Fields& job, const Resources& fallback) {
  const json::value* value = job.Find("demand");
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_object()) {
    return job.Expected("demand", "an object");
  }
  const Fields fields(value->get_object(), "/demand");
  BOOST_LEAF_AUTO(known, fields.OnlyKnown(kDemandFields));
  static_cast<void>(known);
  Resources demand;
  BOOST_LEAF_ASSIGN(demand.slots,
                    fields.Number("slots", fallback.slots, 1, kMaxAmount));
  BOOST_LEAF_ASSIGN(
      demand.cpu_milli,
      fields.Number("cpu_milli", fallback.cpu_milli, 0, kMaxAmount));
  BOOST_LEAF_ASSIGN(
      demand.memory_mb,
      fields.Number("memory_mb", fallback.memory_mb, 0, kMaxAmount));
  BOOST_LEAF_ASSIGN(
      demand.accelerators,
      fields.Number("accelerators", fallback.accelerators, 0, kMaxAmount));
  return demand;
}

Result<WallMillis> ParseDeadline(const Fields& fields, WorkClass work_class,
                                 WallMillis now) {
  const Millis fallback =
      work_class == WorkClass::kUrgent ? kDefaultUrgentDeadline : Millis(0);
  BOOST_LEAF_AUTO(span, fields.Number("deadline_ms", fallback.count(), 0,
                                      kMaxDeadline.count()));
  if (fields.Find("deadline_ms") != nullptr && span == 0) {
    return fields.Expected("deadline_ms", "milliseconds from now, at least 1");
  }
  return span == 0 ? WallMillis{0} : now + span;
}

Result<json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return Fail(ErrorKind::kMalformed, "expected a JSON object", "/");
  }
  return std::move(value.get_object());
}

}  // namespace

const config::WorkKind* FindKind(const config::Config& config,
                                 std::string_view name) {
  const auto found =
      std::ranges::find(config.kinds, name, &config::WorkKind::name);
  return found == config.kinds.end() ? nullptr : &*found;
}

Result<TeamName> TeamFor(const config::WorkKind& kind,
                         const config::TeamKey* key) {
  if (kind.open_to_all && key == nullptr) {
    return kind.teams.front();
  }
  if (key == nullptr) {
    return Fail(ErrorKind::kKeyRefused,
                "send a key that is granted: Authorization: Bearer <key>");
  }
  if (std::ranges::find(kind.teams, key->team) == kind.teams.end()) {
    if (kind.open_to_all) {
      return kind.teams.front();
    }
    return Fail(ErrorKind::kKindRefused,
                "team " + key->team + " may not use kind " + kind.name);
  }
  return key->team;
}

Result<home::JobRequest> ParseJob(std::string_view text,
                                  const config::Config& config,
                                  WallMillis now) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  const Fields fields(object, "");
  BOOST_LEAF_AUTO(known, fields.OnlyKnown(kJobFields));
  static_cast<void>(known);
  home::JobRequest job;
  BOOST_LEAF_ASSIGN(job.id, fields.Text("id", 1, kMaxIdBytes));
  if (job.id.find('/') != std::string::npos) {
    return fields.Expected("id", "an id without '/'");
  }
  BOOST_LEAF_ASSIGN(job.kind, fields.Text("kind", 1, kMaxIdBytes));
  const config::WorkKind* kind = FindKind(config, job.kind);
  if (kind == nullptr) {
    return Fail(ErrorKind::kKindRefused, "no such kind of work: " + job.kind,
                "/kind");
  }
  job.work_class = kind->work_class;
  job.open_to_all = kind->open_to_all;
  job.labels = kind->labels;
  BOOST_LEAF_AUTO(class_text, fields.Text("class", 0, kMaxIdBytes));
  if (!class_text.empty() &&
      class_text != config::ClassName(kind->work_class)) {
    return fields.Expected(
        "class",
        std::string(config::ClassName(kind->work_class)) + " for this kind");
  }
  BOOST_LEAF_ASSIGN(job.idempotent, fields.Flag("idempotent", false));
  BOOST_LEAF_ASSIGN(job.all_at_once, fields.Flag("all_at_once", false));
  BOOST_LEAF_AUTO(tasks, fields.Number("tasks", 1, 1, kMaxTasks));
  job.tasks = static_cast<std::uint32_t>(tasks);
  BOOST_LEAF_ASSIGN(job.demand, ParseDemand(fields, kind->demand));
  BOOST_LEAF_AUTO(expected_run,
                  fields.Number("expected_run_ms", kind->expected_run.count(),
                                0, kMaxDeadline.count()));
  job.expected_run = Millis(expected_run);
  BOOST_LEAF_ASSIGN(job.deadline, ParseDeadline(fields, job.work_class, now));
  BOOST_LEAF_ASSIGN(job.payload, fields.Text("payload", 0, kMaxPayloadBytes));
  return job;
}

std::string_view PhaseName(home::JobPhase phase) {
  switch (phase) {
    case home::JobPhase::kAccepted:
      return "accepted";
    case home::JobPhase::kRunning:
      return "running";
    case home::JobPhase::kDone:
      return "done";
    case home::JobPhase::kFailed:
      return "failed";
    case home::JobPhase::kCancelled:
      return "cancelled";
  }
  return "accepted";
}

std::string StatusJson(const home::JobStatus& status) {
  json::object object;
  object["id"] = status.id;
  object["team"] = status.team;
  object["kind"] = status.kind;
  object["phase"] = PhaseName(status.phase);
  object["ran"] = RanName(status.ran);
  object["tasks"] = status.tasks;
  object["tasks_done"] = status.tasks_done;
  const bool ended_badly = status.phase == home::JobPhase::kFailed ||
                           status.phase == home::JobPhase::kCancelled;
  if (ended_badly) {
    object["error"] = AnswerFor(status.error).name;
    object["code"] = static_cast<std::uint16_t>(status.error);
    object["retry_after_ms"] = status.retry_after.count();
  }
  object["results"] = json::value_from(status.results);
  json::array history;
  for (const home::JobStep& step : status.history) {
    history.push_back({{"at", step.at}, {"what", step.what}});
  }
  object["history"] = std::move(history);
  return json::serialize(object);
}

std::string ErrorJson(ErrorKind kind, std::string_view message, Ran ran,
                      Millis retry_after) {
  const json::value value = {{"error", AnswerFor(kind).name},
                             {"code", static_cast<std::uint16_t>(kind)},
                             {"message", message},
                             {"ran", RanName(ran)},
                             {"retry_after_ms", retry_after.count()}};
  return json::serialize(value);
}

}  // namespace buckthornmux::front
