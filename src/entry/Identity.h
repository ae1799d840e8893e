#pragma once

#include <string>

namespace cranberryreel::entry
{

/// Who sent a request, as its bearer key tells.
struct Identity {
    std::string partner; ///< Empty for the operators' own key and for open calls.
    bool isOperator = false;

    /// Whether it may see and cancel this partner's work.
    bool maySee(const std::string &owner) const
    {
        return this->isOperator || (!this->partner.empty() && this->partner == owner);
    }
};

} // namespace cranberryreel::entry
