#ifndef VANILLAPOST_SRC_EXPOSITION_METRIC_SAMPLE_HPP
#define VANILLAPOST_SRC_EXPOSITION_METRIC_SAMPLE_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost {

/// One line of Prometheus text.
struct metric_sample
{
    std::string name;
    std::map<std::string, std::string, std::less<>> labels;
    double value = 0;

    /// The value of a label, or "".
    std::string_view label(std::string_view label_name) const;
};

/// Bounds on a text from an untrusted source.
struct metrics_text_limits
{
    std::size_t max_bytes = 4 * 1024 * 1024;
    std::size_t max_samples = 50'000;
    std::size_t max_labels = 16; ///< of one sample
};

/// Parses the samples of a Prometheus text; comments and timestamps are
/// skipped.
///
/// \param peer  where the text came from, for the error
/// \throws error  naming the line that is malformed or the limit passed
std::vector<metric_sample>
parse_metrics_text(std::string_view text, std::string_view peer,
                   const metrics_text_limits& limits = {});

} // namespace vanillapost

#endif
