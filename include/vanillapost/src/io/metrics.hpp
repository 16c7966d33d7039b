#ifndef VANILLAPOST_SRC_IO_METRICS_HPP
#define VANILLAPOST_SRC_IO_METRICS_HPP

#include <prometheus/registry.h>
#include <string>

namespace vanillapost::io {

/// The registry as text, for `/metrics`. The `pull` part of prometheus-cpp is
/// not used: it brings threads of its own.
std::string render_metrics(const prometheus::Registry& registry);

} // namespace vanillapost::io

#endif
