#include "standins/odd_entries.h"

#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "standins/json_http.h"
#include "standins/platform_wire.h"

namespace buckthornmux::standins {
namespace {

namespace json = boost::json;

constexpr std::string_view kPrefix = "servers/";
constexpr std::int64_t kHighest = std::numeric_limits<std::int64_t>::max();

json::object ValidEntry(const std::string& address) {
  return {{"service", kService},
          {"address", address},
          {"zone", "here"},
          {"state", "ready"},
          {"born", WallNow()},
          {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}}},
          {"labels", json::array{"a", "rack-0"}}};
}

std::string Nested() {
  constexpr std::size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/// Replaces a field's value with text that needn't be JSON.
std::string WithText(json::object entry, std::string_view field,
                     const std::string& text) {
  constexpr std::string_view kMark = "\"(replaced)\"";
  entry[field] = "(replaced)";
  std::string out = json::serialize(entry);
  return out.replace(out.find(kMark), kMark.size(), text);
}

}  // namespace

std::vector<OddEntry> MakeOddEntries(const SimTarget& healthy, int port) {
  const std::string address = "127.0.0.1:" + std::to_string(port);
  const json::object valid = ValidEntry(address);
  std::vector<OddEntry> entries;
  const auto add = [&entries](std::string_view id, std::string value) {
    entries.push_back(
        {std::string(kPrefix) + std::string(id), std::move(value)});
  };
  const auto add_with = [&](std::string_view id, std::string_view field,
                            const json::value& value) {
    json::object entry = valid;
    entry[field] = value;
    add(id, json::serialize(entry));
  };
  add("odd-nested", Nested());
  add("odd-nested-field", WithText(valid, "labels", Nested()));
  add("odd-nested-unknown-field", WithText(valid, "more", Nested()));
  add("odd-life", WithText(valid, "born", "1e400"));
  add("odd-bytes", WithText(valid, "zone", "\"\xff\xfe\xc0\""));
  add_with("odd-capacity", "capacity",
           {{"cpu", kHighest}, {"mem_mb", kHighest}});
  add_with("odd-capacity-below-zero", "capacity", {{"cpu", -5}});
  add_with("odd-port-0", "address", "127.0.0.1:0");
  add_with("odd-port-99999", "address", "127.0.0.1:99999");
  add_with("odd-port-none", "address", "127.0.0.1");
  add_with("odd-name", "address",
           json::string("localhost:" + std::to_string(port)));
  add_with("odd-no-address", "address", "");
  add_with("odd-state", "state", "resting");
  json::object draining = valid;
  draining["state"] = "draining";
  draining["remaining_ms"] = kHighest;
  add("odd-remaining", json::serialize(draining));
  add("", json::serialize(valid));  // No id.

  constexpr Millis kComes{1500};
  constexpr Millis kGoes{4500};
  for (const auto& [id, field, value] :
       {std::tuple<std::string_view, std::string_view, json::value>{
            "odd-passing-capacity", "capacity", {{"cpu", kHighest}}},
        {"odd-passing-port", "address", "127.0.0.1:99999"},
        {"odd-passing-state", "state", 7}}) {
    add_with(id, field, value);
    entries.back().from = kComes;
    entries.back().until = kGoes;
  }
  add("odd-twin", json::serialize(ValidEntry(healthy.entry.address)));
  entries.back().readable = true;
  return entries;
}

}  // namespace buckthornmux::standins
