#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_CODEC_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_CODEC_HPP

#include "member.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost {

nlohmann::json to_json(const member& who);
nlohmann::json to_json(const member_status& status);

/// \throws error  when a field is missing or of another type
member parse_member(const nlohmann::json& document);
member_status parse_member_status(const nlohmann::json& document);

} // namespace vanillapost

#endif
