#include "fuzz_target.hpp"
#include "vanillapost/src/io/detail/http1_reader.hpp"

namespace {

using namespace vanillapost;
using io::detail::http1_reader;
using io::detail::message_side;
using io::detail::read_result;

void read_all(message_side side, std::string_view bytes, std::size_t piece)
{
    http1_reader reader(side, {[](io::detail::message_head&& head) {
                                   for (const auto& field : head.headers)
                                       fuzz::require(
                                           field.value.find_first_of("\r\n") ==
                                           std::string::npos);
                               },
                               [](std::string_view) {}, [] {}});
    while (!bytes.empty()) {
        std::size_t used = 0;
        const auto part = bytes.substr(0, piece);
        const auto result = reader.read(part, used);
        fuzz::require(used <= part.size());
        const bool stuck = result == read_result::complete && used == 0;
        if (stuck || (result != read_result::complete &&
                      result != read_result::need_more))
            return;
        bytes.remove_prefix(used);
    }
    reader.finish();
}

} // namespace

// Requests of callers and answers of targets, whole and in pieces.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    constexpr std::size_t small = 7;
    for (const auto side : {message_side::request, message_side::answer}) {
        read_all(side, bytes, bytes.size());
        read_all(side, bytes, small);
    }
}
