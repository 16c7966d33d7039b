#ifndef VANILLAPOST_STANDINS_PLATFORM_PLATFORM_MESSAGES_HPP
#define VANILLAPOST_STANDINS_PLATFORM_PLATFORM_MESSAGES_HPP

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vanillapost/table.hpp>

namespace vanillapost::standin {

/// By how many revisions a command has the store go back.
/// \throws error  when the command is wrong
std::uint64_t parse_restore(const nlohmann::json& command);

/// \throws error  when `text` is no revision; "" is revision 0
revision parse_revision(const std::string& text);

/// \throws error  when `text` is no transaction
table_transaction parse_transaction(std::string_view text);

} // namespace vanillapost::standin

#endif
