#ifndef VANILLAPOST_APPS_LOAD_LATENCY_HISTOGRAM_HPP
#define VANILLAPOST_APPS_LOAD_LATENCY_HISTOGRAM_HPP

#include <algorithm>
#include <boost/histogram.hpp>
#include <tuple>
#include <vanillapost/base.hpp>

namespace vanillapost::load {

/// Latencies in bins that each are 1% wide, for quantiles.
class latency_histogram
{
public:
    void add(duration latency)
    {
        const double ms = static_cast<double>(latency.count()) / 1000.0;
        bins_(std::max(ms, lowest_ms));
        max_ms_ = std::max(max_ms_, ms);
        ++count_;
    }

    /// The latency that `share` of the calls stayed within; 0 without calls.
    double quantile_ms(double share) const
    {
        if (count_ == 0)
            return 0.0;
        const double wanted = share * static_cast<double>(count_);
        double seen = 0.0;
        for (const auto& bin : boost::histogram::indexed(
                 bins_, boost::histogram::coverage::all)) {
            seen += static_cast<double>(*bin);
            if (seen >= wanted)
                return std::min(bin.bin().upper(), max_ms_);
        }
        return max_ms_;
    }

    double max_ms() const
    {
        return max_ms_;
    }

    std::uint64_t count() const
    {
        return count_;
    }

private:
    static constexpr double lowest_ms = 0.01;
    static constexpr double highest_ms = 600'000.0;
    static constexpr unsigned bin_count = 1800;

    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>> bins_{
        axis(bin_count, lowest_ms, highest_ms)};
    double max_ms_ = 0.0;
    std::uint64_t count_ = 0;
};

} // namespace vanillapost::load

#endif
