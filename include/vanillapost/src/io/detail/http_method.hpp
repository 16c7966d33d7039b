#ifndef VANILLAPOST_SRC_IO_DETAIL_HTTP_METHOD_HPP
#define VANILLAPOST_SRC_IO_DETAIL_HTTP_METHOD_HPP

#include <event2/http.h>
#include <string_view>

namespace vanillapost::io::detail {

/// Every method that callers may use.
int all_methods();

/// \throws error  when evhttp does not know the method
evhttp_cmd_type to_evhttp_method(std::string_view name);

/// "" for a method outside `all_methods`.
std::string_view method_name(evhttp_cmd_type method);

} // namespace vanillapost::io::detail

#endif
