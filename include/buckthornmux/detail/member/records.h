/// Stored form of members and owner records, as JSON.
#pragma once

#include <string>
#include <string_view>

#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::member {

/// @brief JSON form of a member, value of the key members/<id>.
[[nodiscard]] std::string EncodeMember(const Member& member);

/// @brief Parses EncodeMember; kMalformed otherwise.
[[nodiscard]] Result<Member> DecodeMember(std::string_view text);

/// @brief JSON form of an owner record, value of the key owners/<range>. The
///   store keeps the revision.
[[nodiscard]] std::string EncodeOwnerRecord(const OwnerRecord& record);

/// @brief Parses EncodeOwnerRecord; kMalformed otherwise.
/// @param text value of the key
/// @param revision revision of the key, put into the record
[[nodiscard]] Result<OwnerRecord> DecodeOwnerRecord(std::string_view text,
                                                    Revision revision);

}  // namespace buckthornmux::member
