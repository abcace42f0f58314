/// JSON encoding of members and owner records in the store.
#pragma once

#include <string>
#include <string_view>

#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::member {

/// @brief Encodes a member as JSON, the value of the key members/<id>.
[[nodiscard]] std::string EncodeMember(const Member& member);

/// @brief Parses the output of EncodeMember; kMalformed for any other text.
[[nodiscard]] Result<Member> DecodeMember(std::string_view text);

/// @brief Encodes an owner record as JSON, the value of the key owners/<range>.
///   The revision is not encoded, because the store keeps it.
[[nodiscard]] std::string EncodeOwnerRecord(const OwnerRecord& record);

/// @brief Parses the output of EncodeOwnerRecord.
/// @param text value of the key
/// @param revision revision of the key, copied into the record
/// @return the record; kMalformed for any other text
[[nodiscard]] Result<OwnerRecord> DecodeOwnerRecord(std::string_view text,
                                                    Revision revision);

}  // namespace buckthornmux::member
