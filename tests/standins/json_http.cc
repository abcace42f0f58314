#include "standins/json_http.h"

#include <chrono>

namespace buckthornmux::standins {

namespace json = boost::json;

net::HttpResponse JsonAnswer(int status, const json::value& body) {
  net::HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

net::HttpResponse ErrorAnswerOf(int status, std::string_view name) {
  return JsonAnswer(status, json::object{{"error", name}});
}

std::optional<json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::int64_t IntegerAt(const json::object& object, std::string_view name,
                       std::int64_t fallback) {
  const auto* value = object.if_contains(name);
  boost::system::error_code error;
  const auto number =
      value == nullptr ? fallback : value->to_number<std::int64_t>(error);
  return error ? fallback : number;
}

std::string StringAt(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr || !value->is_string()
             ? std::string()
             : std::string(value->as_string());
}

bool BoolAt(const json::object& object, std::string_view name, bool fallback) {
  const auto* value = object.if_contains(name);
  return value == nullptr || !value->is_bool() ? fallback : value->as_bool();
}

Time SteadyNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

WallMillis WallNow() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace buckthornmux::standins
