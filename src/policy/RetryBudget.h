#pragma once

#include <cstdint>

namespace cranberryreel::policy
{

/// Limits of a RetryBudget.
struct RetryBudgetOptions {
    double retriesPerSuccess = 0.1; ///< Retries that each success adds.
    double maxSaved = 10.0; ///< Maximum of saved retries; also the initial number.
};

/// Limits retries to a fraction of the successes, so that retries stop when nothing succeeds and cannot amplify an overload. Uses no clock: without successes
/// there are no further retries, and first attempts that succeed add new ones. Owned by whoever retries; not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &limits = {})
        : options(limits)
        , tokens(limits.maxSaved)
    {
    }

    void recordSuccess()
    {
        this->tokens += this->options.retriesPerSuccess;
        this->tokens = this->tokens > this->options.maxSaved ? this->options.maxSaved : this->tokens;
    }

    /// Takes one retry from the budget; returns false if none is left.
    bool tryTakeRetry()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    double remaining() const
    {
        return this->tokens;
    }

private:
    RetryBudgetOptions options;
    double tokens;
};

} // namespace cranberryreel::policy
