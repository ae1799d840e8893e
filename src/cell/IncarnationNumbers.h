#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::cell
{

/// Numbers the incarnations of upstreams that are seen in one term, from 1. The numbers of one id always rise, also when its record is removed and the id
/// announces itself again: each is higher than any that an earlier incarnation was called with. Used by the scheduler's thread only. Owned by the TermContext.
class IncarnationNumbers
{
public:
    /// The number of the next incarnation of this id.
    std::uint64_t next(const std::string &id);

private:
    void forgetOne();

    std::map<std::string, std::uint64_t> lastNumbers; ///< By id.
    std::uint64_t lastForgotten = 0; ///< No id that is not in `lastNumbers` was given a higher number.
};

} // namespace cranberryreel::cell
