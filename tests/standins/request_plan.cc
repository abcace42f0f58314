#include "standins/request_plan.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <sstream>

#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

namespace json = boost::json;

constexpr Millis kPollPause{100};
constexpr Millis kBrokenPause{100};

const std::array<MixPart, 4> kParts{{{"urgent", 1, true, false},
                                     {"nonidem", 1, false, false},
                                     {"patient", 1, false, true},
                                     {"rebuild", 1, true, true}}};

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream{std::string(text)};
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

NextStep Finish(CallerLine& line, std::string answer, std::string ran) {
  line.answer = std::move(answer);
  line.ran = std::move(ran);
  return {};
}

std::string FirstResult(const json::object& status) {
  const auto* results = status.if_contains("results");
  const bool has_one = results != nullptr && results->is_array() &&
                       !results->as_array().empty() &&
                       results->as_array().front().is_string();
  return has_one ? std::string(results->as_array().front().as_string())
                 : std::string();
}

NextStep TakeStatus(CallerLine& line, int http_status,
                    const json::object& status) {
  const std::string phase = StringAt(status, "phase");
  line.team = StringAt(status, "team");
  if (http_status == 202) {
    line.accepted = line.patient;
  }
  if (phase == "accepted" || phase == "running") {
    line.answer = "pending";
    line.ran = "unknown";
    return {NextStep::Kind::kPoll, kPollPause};
  }
  line.result = FirstResult(status);
  return Finish(line, phase == "done" ? "done" : "error",
                StringAt(status, "ran"));
}

NextStep TakeNoAnswer(PlannedRequest& request, const Error& error,
                      int most_tries) {
  CallerLine& line = request.line;
  const bool unsent = error.kind == ErrorKind::kPeerUnreachable;
  if (!unsent) {
    line.ran = "unknown";  // Whatever a later try that is not sent may say.
  }
  if (line.accepted) {
    return {NextStep::Kind::kPoll, kBrokenPause};
  }
  if ((unsent || line.idempotent) && request.tries < most_tries) {
    return {NextStep::Kind::kTryAgain, kBrokenPause};
  }
  if (!unsent || line.ran != "no") {
    return Finish(line, "error", "unknown");
  }
  // Without a result no host has said so: this copy has reached none.
  return Finish(line, "error", line.result.empty() ? "unsent" : "no");
}

}  // namespace

Result<std::vector<MixPart>> ParseMix(std::string_view text) {
  std::vector<MixPart> parts;
  for (const std::string& item : Split(text, ',')) {
    const auto equals = item.find('=');
    const auto known =
        std::ranges::find(kParts, item.substr(0, equals), &MixPart::name);
    if (equals == std::string::npos || known == kParts.end()) {
      return Fail(ErrorKind::kUsage,
                  "expected urgent|nonidem|patient|rebuild=weight,...", item);
    }
    parts.push_back(*known);
    parts.back().weight = std::strtod(item.c_str() + equals + 1, nullptr);
  }
  return parts;
}

std::string JobBody(const PlannedRequest& request) {
  const std::string payload = json::serialize(
      json::object{{"run_ms", request.run_ms}, {"echo", request.line.echo}});
  json::object body{{"id", request.line.id},
                    {"kind", request.kind},
                    {"idempotent", request.line.idempotent},
                    {"payload", payload}};
  if (request.deadline_ms > 0) {
    body["deadline_ms"] = request.deadline_ms;
  }
  return json::serialize(body);
}

NextStep TakeAnswer(PlannedRequest& request,
                    const Outcome<net::HttpResponse>& outcome, int most_tries) {
  CallerLine& line = request.line;
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return TakeNoAnswer(request, *error, most_tries);
  }
  const auto& response = std::get<net::HttpResponse>(outcome);
  const auto object = ParseObject(response.body);
  if (!object) {
    return Finish(line, "error", "unknown");
  }
  if (response.status < 300) {
    return TakeStatus(line, response.status, *object);
  }
  const std::string ran = StringAt(*object, "ran");
  const Millis back(IntegerAt(*object, "retry_after_ms", 0));
  if (line.accepted && back > Millis(0)) {
    return {NextStep::Kind::kPoll, back};
  }
  line.result = response.body;
  if (ran == "no" && back > Millis(0) && request.tries < most_tries) {
    line.ran = "no";
    return {NextStep::Kind::kTryAgain, back};
  }
  return Finish(line, "error", ran);
}

}  // namespace buckthornmux::standins
