#ifndef VANILLAPOST_SRC_RETRY_RETRY_BUDGET_HPP
#define VANILLAPOST_SRC_RETRY_RETRY_BUDGET_HPP

namespace vanillapost {

struct retry_budget_settings
{
    double share = 0.1;  ///< retries for each success
    double largest = 10; ///< tokens that can be saved up
};

/// Token bucket that bounds retries and hedges to a share of successes.
///
/// It starts empty but for one token, so that an entry that starts during an
/// outage adds no load.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_settings& settings = {});

    void on_success();

    /// Takes a token, if there is a whole one.
    bool try_spend();

    /// Returns a token that was taken for an attempt that was not sent.
    void refund();

    double tokens() const
    {
        return tokens_;
    }

private:
    retry_budget_settings settings_;
    double tokens_ = 1;
};

} // namespace vanillapost

#endif
