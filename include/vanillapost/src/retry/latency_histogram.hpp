#ifndef VANILLAPOST_SRC_RETRY_LATENCY_HISTOGRAM_HPP
#define VANILLAPOST_SRC_RETRY_LATENCY_HISTOGRAM_HPP

#include "../base/time.hpp"

#include <boost/histogram.hpp>
#include <optional>
#include <tuple>

namespace vanillapost::detail {

/// Recent latencies, from which quantiles are read.
class latency_histogram
{
public:
    /// \param samples_per_window  samples after which older ones count half
    explicit latency_histogram(int samples_per_window);

    void add(duration latency);

    /// Upper edge of the bin that holds the quantile.
    ///
    /// \pre samples were added
    duration quantile(double share) const;

    int samples() const
    {
        return samples_;
    }

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    int samples_per_window_;
    int in_window_ = 0;
    int samples_ = 0;
    boost::histogram::histogram<std::tuple<axis>,
                                boost::histogram::dense_storage<double>>
        bins_;
};

} // namespace vanillapost::detail

#endif
