#include "buckthornmux/detail/cli/remote_config.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/config/json_reader.h"

namespace buckthornmux::cli {
namespace {

namespace json = boost::json;

constexpr std::string_view kAnswer = "answer of GET /v1/config";

std::string_view TypeName(config::Change::Type type) {
  switch (type) {
    case config::Change::Type::kAdded:
      return "added";
    case config::Change::Type::kRemoved:
      return "removed";
    case config::Change::Type::kChanged:
      return "changed";
  }
  return "changed";
}

}  // namespace

Result<config::Config> FetchConfig(EntryClient& client) {
  BOOST_LEAF_AUTO(body,
                  client.Call({.target = "/v1/config"}, Retry::kIdempotent));
  BOOST_LEAF_AUTO(value, config::ParseJson(body, kAnswer));
  config::Problems problems;
  config::ObjectReader reader(value, kAnswer, "", problems);
  const auto revision = static_cast<Revision>(reader.Integer("revision", {}));
  const json::value* shown = reader.Value("config");
  if (!problems.empty() || shown == nullptr) {
    return Fail(ErrorKind::kMalformed,
                "the answer is no configuration: check that --entry is an "
                "entry host of this release");
  }
  return config::DecodeConfig(json::serialize(*shown), revision);
}

std::string ChangesJson(std::span<const config::Change> changes) {
  json::array array;
  for (const config::Change& change : changes) {
    array.push_back({{"type", TypeName(change.type)},
                     {"subject", change.subject},
                     {"name", change.name},
                     {"detail", change.detail},
                     {"effect", change.effect}});
  }
  return json::serialize(array);
}

}  // namespace buckthornmux::cli
