#include "standins/evidence.h"

#include <boost/json.hpp>

#include "standins/json_http.h"

namespace buckthornmux::standins {

namespace json = boost::json;

Result<TargetLine> ParseTargetLine(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object || !object->contains("event") || !object->contains("at")) {
    return Fail(ErrorKind::kMalformed, "no line of a target's log",
                std::string(text));
  }
  TargetLine line;
  line.at = IntegerAt(*object, "at", 0);
  line.target = StringAt(*object, "target");
  line.instance = StringAt(*object, "instance");
  line.what = StringAt(*object, "event");
  line.task = StringAt(*object, "task");
  line.attempt = static_cast<std::uint32_t>(IntegerAt(*object, "attempt", 0));
  line.team = StringAt(*object, "team");
  line.job = StringAt(*object, "job");
  line.idempotent = BoolAt(*object, "idempotent", false);
  line.demand = {IntegerAt(*object, "slots", 0),
                 IntegerAt(*object, "cpu_milli", 0),
                 IntegerAt(*object, "memory_mb", 0),
                 IntegerAt(*object, "accelerators", 0)};
  return line;
}

Result<CallerLine> ParseCallerLine(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object || !object->contains("id") || !object->contains("answer")) {
    return Fail(ErrorKind::kMalformed, "no line of the callers' log",
                std::string(text));
  }
  CallerLine line;
  line.id = StringAt(*object, "id");
  line.team = StringAt(*object, "team");
  line.idempotent = BoolAt(*object, "idempotent", false);
  line.patient = BoolAt(*object, "patient", false);
  line.accepted = BoolAt(*object, "accepted", false);
  line.answer = StringAt(*object, "answer");
  line.ran = StringAt(*object, "ran");
  line.echo = StringAt(*object, "echo");
  line.result = StringAt(*object, "result");
  line.sent_at = IntegerAt(*object, "sent_at", 0);
  line.at = IntegerAt(*object, "at", 0);
  return line;
}

std::string FormatCallerLine(const CallerLine& line) {
  return json::serialize(json::object{{"id", line.id},
                                      {"team", line.team},
                                      {"idempotent", line.idempotent},
                                      {"patient", line.patient},
                                      {"accepted", line.accepted},
                                      {"answer", line.answer},
                                      {"ran", line.ran},
                                      {"echo", line.echo},
                                      {"result", line.result},
                                      {"sent_at", line.sent_at},
                                      {"at", line.at}});
}

}  // namespace buckthornmux::standins
