#include "vanillapost/src/io/detail/http_method.hpp"

#include "vanillapost/src/base/error.hpp"

#include <array>

namespace vanillapost::io::detail {

namespace {

struct named_method
{
    std::string_view name;
    evhttp_cmd_type method;
};

constexpr std::array known_methods{
    named_method{"GET", EVHTTP_REQ_GET},
    named_method{"POST", EVHTTP_REQ_POST},
    named_method{"PUT", EVHTTP_REQ_PUT},
    named_method{"DELETE", EVHTTP_REQ_DELETE},
    named_method{"HEAD", EVHTTP_REQ_HEAD},
    named_method{"PATCH", EVHTTP_REQ_PATCH},
    named_method{"OPTIONS", EVHTTP_REQ_OPTIONS},
};

} // namespace

int all_methods()
{
    int bits = 0;
    for (const auto& known : known_methods)
        bits |= known.method;
    return bits;
}

evhttp_cmd_type to_evhttp_method(std::string_view name)
{
    for (const auto& known : known_methods)
        if (known.name == name)
            return known.method;
    throw error("start call", "", "unknown HTTP method");
}

std::string_view method_name(evhttp_cmd_type method)
{
    for (const auto& known : known_methods)
        if (known.method == method)
            return known.name;
    return "";
}

} // namespace vanillapost::io::detail
