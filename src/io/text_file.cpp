#include "vanillapost/src/io/text_file.hpp"

#include "vanillapost/src/base/error.hpp"

#include <fstream>
#include <sstream>

namespace vanillapost::io {

std::string read_text_file(const std::string& path, std::string_view step)
{
    std::ifstream file(path);
    if (!file)
        throw error(step, path, "cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace vanillapost::io
