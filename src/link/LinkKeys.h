#pragma once

#include <string>

namespace cranberryreel::link
{

/// The shared keys a daemon accepts. To rotate: give every daemon the new key as `next`, then as `current` with the old one as `next`, then alone.
struct LinkKeys {
    std::string current;
    std::string next; ///< Empty when no rotation is under way.

    bool accepts(const std::string &key) const
    {
        return !key.empty() && (key == this->current || key == this->next);
    }
};

} // namespace cranberryreel::link
