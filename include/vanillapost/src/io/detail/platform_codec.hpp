#ifndef VANILLAPOST_SRC_IO_DETAIL_PLATFORM_CODEC_HPP
#define VANILLAPOST_SRC_IO_DETAIL_PLATFORM_CODEC_HPP

#include "../../table/table.hpp"

#include <string>
#include <string_view>

/// The platform's JSON. Every parse function takes untrusted bytes.
/// \throws error  when `body` is not what the protocol says
namespace vanillapost::io::detail {

table_row parse_row(std::string_view body);
table_changes parse_changes(std::string_view body);
transaction_done parse_transaction_done(std::string_view body);
transaction_conflict parse_transaction_conflict(std::string_view body);

/// \throws error  when a value is not UTF-8
std::string render_transaction(const table_transaction& transaction);

} // namespace vanillapost::io::detail

#endif
