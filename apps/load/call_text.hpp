#ifndef VANILLAPOST_APPS_LOAD_CALL_TEXT_HPP
#define VANILLAPOST_APPS_LOAD_CALL_TEXT_HPP

#include "mix.hpp"

#include <cstdint>
#include <string>

namespace vanillapost::load {

/// The path of a call, with the request's id put in.
std::string path_of(const service_calls& service, const std::string& id);

/// Name of the file that a download asks for, or "".
std::string file_of(const service_calls& service, const std::string& id);

/// Size of the file that a download asks for, or 0.
std::uint64_t file_bytes_of(const service_calls& service);

} // namespace vanillapost::load

#endif
