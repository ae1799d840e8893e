#pragma once

#include <string>

namespace cranberryreel::link
{

/// The shared keys that a daemon accepts. To rotate the key, configure every daemon with the new key as `next`, then with the new key as `current` and the old
/// one as `next`, then with the new key alone.
struct LinkKeys {
    std::string current;
    std::string next; ///< Empty outside of a rotation.

    bool accepts(const std::string &key) const
    {
        return !key.empty() && (key == this->current || key == this->next);
    }
};

} // namespace cranberryreel::link
