#include "../../apps/explain/explanation.hpp"
#include "../../apps/explain/log_reader.hpp"
#include "fuzz_target.hpp"

#include <sstream>

void vanillapost::fuzz::decode(std::string_view bytes)
{
    std::istringstream input{std::string(bytes)};
    explain::log_contents contents;
    explain::read_log(input, contents);
    explain::sort_lines(contents);
    explain::find_request(contents.lines, "x");
    explain::group_failures(contents.lines);
    for (const auto& line : contents.lines)
        explain::explain_request(line);
}
