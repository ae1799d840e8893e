#pragma once

#include <string>

namespace cranberryreel::entry
{

/// The sender of a request as identified by its bearer key. A value; any thread.
struct Identity {
    std::string partner; ///< Empty for the operators' key and on routes without a partner key.
    bool isOperator = false;

    /// Whether the sender may read and cancel the work of this partner.
    bool mayAccess(const std::string &owner) const
    {
        return this->isOperator || (!this->partner.empty() && this->partner == owner);
    }
};

} // namespace cranberryreel::entry
