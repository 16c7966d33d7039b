#ifndef VANILLAPOST_SRC_PLACEMENT_ROUND_TRIP_ESTIMATOR_HPP
#define VANILLAPOST_SRC_PLACEMENT_ROUND_TRIP_ESTIMATOR_HPP

#include "../base/time.hpp"

#include <optional>

namespace vanillapost {

/// The round trip to a data centre: the shortest that was measured lately. The
/// shortest one contains no wait for a processor or for a new connection.
///
/// It has the minima of two periods, so that a way that has become longer is
/// noticed after two periods at the latest.
class round_trip_estimator
{
public:
    static constexpr duration period = std::chrono::seconds(5);
    /// Fewer measurements say nothing.
    static constexpr int min_count = 3;

    /// \param taken  from sending to the head of the response; a negative one
    ///               is ignored
    void on_round_trip(duration taken, time_point now);

    /// Nullopt while there are too few measurements.
    std::optional<duration> shortest() const;

private:
    std::optional<duration> current_;
    std::optional<duration> previous_;
    time_point began_{};
    int count_ = 0;
};

} // namespace vanillapost

#endif
