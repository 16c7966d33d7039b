#include "vanillapost/src/retry/latency_histogram.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost::detail {

namespace {

constexpr unsigned bin_count = 160;
constexpr double shortest_us = 10;
constexpr double longest_us = 100e6;

} // namespace

latency_histogram::latency_histogram(int samples_per_window)
    : samples_per_window_(samples_per_window),
      bins_(std::make_tuple(axis(bin_count, shortest_us, longest_us)))
{
}

void latency_histogram::add(duration latency)
{
    bins_(std::max(1.0, static_cast<double>(latency.count())));
    ++samples_;
    if (++in_window_ < samples_per_window_)
        return;
    in_window_ = 0;
    bins_ *= 0.5;
}

duration latency_histogram::quantile(double share) const
{
    namespace histogram = boost::histogram;
    assert(samples_ > 0);
    const double wanted = share * histogram::algorithm::sum(bins_);
    double seen = 0;
    double edge = shortest_us;
    for (auto&& bin : histogram::indexed(bins_, histogram::coverage::all)) {
        seen += *bin;
        edge = std::min(bin.bin().upper(), longest_us);
        if (seen >= wanted)
            break;
    }
    return duration(static_cast<duration::rep>(edge));
}

} // namespace vanillapost::detail
