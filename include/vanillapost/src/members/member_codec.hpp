#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_CODEC_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_CODEC_HPP

#include "member.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost {

nlohmann::json to_json(const member& who);

/// Uses field names of one letter, since a heartbeat goes to every peer about
/// once a second.
nlohmann::json to_json(const member_heartbeat& heartbeat);

/// \throws error  when a field is missing, has the wrong type or an invalid
///                value
member parse_member(const nlohmann::json& document);
member_heartbeat parse_member_heartbeat(const nlohmann::json& document);

} // namespace vanillapost

#endif
