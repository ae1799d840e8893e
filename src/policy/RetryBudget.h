#pragma once

#include <cstdint>

namespace cranberryreel::policy
{

struct RetryBudgetOptions {
    double retriesPerSuccess = 0.1; ///< Each success earns so much of a retry.
    double most = 10.0; ///< Retries that can be saved up; also what there is at the start.
};

/// Bounds retries to a part of the successes, so that retries end when nothing succeeds and an overload cannot feed itself. Holds no clock: with no successes
/// there are no further retries, and the first attempts that do succeed earn new ones. Owned by whoever retries; not safe for use by several threads.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &limits = {})
        : options(limits)
        , tokens(limits.most)
    {
    }

    void succeeded()
    {
        this->tokens += this->options.retriesPerSuccess;
        this->tokens = this->tokens > this->options.most ? this->options.most : this->tokens;
    }

    /// Takes one retry out of the budget; false when there is none.
    bool tryRetry()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    double left() const
    {
        return this->tokens;
    }

private:
    RetryBudgetOptions options;
    double tokens;
};

} // namespace cranberryreel::policy
