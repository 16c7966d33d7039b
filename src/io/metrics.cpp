#include "vanillapost/src/io/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace vanillapost::io {

std::string render_metrics(const prometheus::Registry& registry)
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace vanillapost::io
