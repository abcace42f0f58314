#include "standins/platform_wire.h"

#include <charconv>
#include <vector>

#include "standins/json_http.h"

namespace buckthornmux::standins {

namespace json = boost::json;

namespace {

json::object StepJson(const cell::StepSpec& step) {
  json::object row{{"count", step.count},
                   {"cpu", step.demand.cpu_milli},
                   {"mem_mb", step.demand.memory_mb},
                   {"estimated_ms", step.estimate.count()}};
  if (!step.after.empty()) {
    json::array after;
    for (const std::uint32_t before : step.after) {
      after.emplace_back(before);
    }
    row["after"] = std::move(after);
  }
  if (step.gang) {
    row["gang"] = true;
  }
  return row;
}

std::string FormatTask(const cell::TaskId& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string_view EndText(cell::RunEnd end) {
  constexpr std::string_view kNames[] = {"done",   "failed", "stopped",
                                         "lapsed", "broken", "alone"};
  return kNames[static_cast<std::size_t>(end)];
}

}  // namespace

std::string PathOf(const cell::JobSpec& spec) {
  return "/" + spec.queue + "/" + spec.id;
}

std::string JobJson(const cell::JobSpec& spec) {
  json::array steps;
  for (const cell::StepSpec& step : spec.steps) {
    steps.push_back(StepJson(step));
  }
  return json::serialize(
      json::object{{"spec", spec.payload}, {"steps", std::move(steps)}});
}

json::object QueueJson(const cell::Queue& queue) {
  return {{"name", queue.name},
          {"hostname", kHostName},
          {"prefix", "/" + queue.name + "/"},
          {"service", kService},
          {"priority", queue.priority},
          {"max_attempts", queue.max_attempts},
          {"stretch", queue.stretch},
          {"target_runtime_ms", queue.target_runtime.count()},
          {"advice",
           {{"decide_ms", queue.advice->decide.count()},
            {"each_ms", queue.advice->each_ms},
            {"valid_ms", queue.advice->valid.count()}}},
          {"public", false}};
}

cell::TaskId ParseTask(const std::string& name) {
  cell::TaskId task;
  std::vector<std::uint32_t> numbers;
  std::size_t at = name.find('.');
  task.job = name.substr(0, at);
  while (at != std::string::npos) {
    std::uint32_t number = 0;
    std::from_chars(name.data() + at + 1, name.data() + name.size(), number);
    numbers.push_back(number);
    at = name.find('.', at + 1);
  }
  numbers.resize(3);
  task.occurrence = numbers[0];
  task.step = numbers[1];
  task.index = numbers[2];
  return task;
}

net::HttpResponse ReportJson(const cell::TargetReport& report) {
  json::array running;
  for (const auto& row : report.running) {
    running.push_back(json::array{FormatTask(row.run.task), row.run.number,
                                  row.checkpoint, row.percent, row.load});
  }
  json::array ended;
  for (const auto& row : report.ended) {
    ended.push_back(json::array{row.sequence, FormatTask(row.run.task),
                                row.run.number, EndText(row.end),
                                row.checkpoint});
  }
  return JsonAnswer(200, json::object{{"clock_ms", report.clock_ms},
                                      {"born", report.life},
                                      {"running", std::move(running)},
                                      {"ended", std::move(ended)}});
}

net::HttpResponse Conflict(const SimTarget& target, Time now,
                           std::string_view reason) {
  return JsonAnswer(409, json::object{{"clock_ms", TargetClock(target, now)},
                                      {"reason", reason}});
}

std::string_view ReasonOf(cell::OrderOutcome outcome) {
  return outcome == cell::OrderOutcome::kLate ? "late" : "old";
}

}  // namespace buckthornmux::standins
