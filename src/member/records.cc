#include "buckthornmux/detail/member/records.h"

#include <boost/json.hpp>

namespace buckthornmux::member {
namespace {

namespace json = boost::json;

Result<json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return Fail(ErrorKind::kMalformed, "expected a JSON object");
  }
  return std::move(value.as_object());
}

Result<std::string> ParseText(const json::object& object,
                              std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return Fail(ErrorKind::kMalformed, "expected a string", std::string(name));
  }
  return std::string(value->as_string());
}

Result<Epoch> ParseNumber(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  boost::system::error_code error;
  const auto number = value == nullptr ? 0 : value->to_number<Epoch>(error);
  if (value == nullptr || error) {
    return Fail(ErrorKind::kMalformed, "expected a count", std::string(name));
  }
  return number;
}

/// Parses a measure of capacity; 0 if it is missing, as in records of earlier
/// releases.
Result<std::uint32_t> ParseCapacity(const json::object& object,
                                    std::string_view name) {
  if (!object.contains(name)) {
    return 0U;
  }
  BOOST_LEAF_AUTO(number, ParseNumber(object, name));
  return static_cast<std::uint32_t>(number);
}

}  // namespace

std::string EncodeMember(const Member& member) {
  return json::serialize(json::object{{"id", member.id},
                                      {"incarnation", member.incarnation},
                                      {"peer_address", member.peer_address},
                                      {"http_address", member.http_address},
                                      {"data_centre", member.data_centre},
                                      {"leaving", member.leaving},
                                      {"weight", member.weight},
                                      {"cores_milli", member.cores_milli},
                                      {"link_kbps", member.link_kbps}});
}

Result<Member> DecodeMember(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  Member member;
  BOOST_LEAF_ASSIGN(member.id, ParseText(object, "id"));
  BOOST_LEAF_ASSIGN(member.incarnation, ParseText(object, "incarnation"));
  BOOST_LEAF_ASSIGN(member.peer_address, ParseText(object, "peer_address"));
  BOOST_LEAF_ASSIGN(member.http_address, ParseText(object, "http_address"));
  BOOST_LEAF_ASSIGN(member.data_centre, ParseText(object, "data_centre"));
  const json::value* leaving = object.if_contains("leaving");
  if (leaving == nullptr || !leaving->is_bool()) {
    return Fail(ErrorKind::kMalformed, "expected true or false", "leaving");
  }
  member.leaving = leaving->as_bool();
  BOOST_LEAF_ASSIGN(member.weight, ParseCapacity(object, "weight"));
  BOOST_LEAF_ASSIGN(member.cores_milli, ParseCapacity(object, "cores_milli"));
  BOOST_LEAF_ASSIGN(member.link_kbps, ParseCapacity(object, "link_kbps"));
  return member;
}

std::string EncodeOwnerRecord(const OwnerRecord& record) {
  return json::serialize(json::object{{"range", record.range},
                                      {"owner", record.owner},
                                      {"incarnation", record.incarnation},
                                      {"epoch", record.epoch},
                                      {"weight", record.weight}});
}

Result<OwnerRecord> DecodeOwnerRecord(std::string_view text,
                                      Revision revision) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  OwnerRecord record;
  BOOST_LEAF_ASSIGN(record.range, ParseText(object, "range"));
  BOOST_LEAF_ASSIGN(record.owner, ParseText(object, "owner"));
  BOOST_LEAF_ASSIGN(record.incarnation, ParseText(object, "incarnation"));
  BOOST_LEAF_ASSIGN(record.epoch, ParseNumber(object, "epoch"));
  BOOST_LEAF_ASSIGN(record.weight, ParseCapacity(object, "weight"));
  record.revision = revision;
  return record;
}

}  // namespace buckthornmux::member
