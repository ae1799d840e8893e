#pragma once

#include <algorithm>

namespace cranberryreel::zone
{

/// Bounds retries by successes, so that retries cannot keep an overload going: each success earns a fraction of a retry, up to a bound. Owned by TaskEnder.
class RetryBudget
{
public:
    bool mayRetry()
    {
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    void recordSuccess()
    {
        this->tokens = std::min(MostTokens, this->tokens + TokensPerSuccess);
    }

private:
    static constexpr double MostTokens = 100;
    static constexpr double TokensPerSuccess = 0.2;

    double tokens = MostTokens;
};

} // namespace cranberryreel::zone
