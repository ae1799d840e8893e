#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cranberryreel::cell
{

/// How often the advice service allows an upstream to the steps of a queue, learned from its answers, so that a question names no more upstreams than its
/// tasks need. Pure. Lives for one term.
class AllowedShares
{
public:
    void answered(const std::string &queue, std::size_t asked, std::size_t allowed);

    /// Above 0, up to 1.
    double of(const std::string &queue) const;

private:
    struct Counts {
        double asked = 0;
        double allowed = 0;
    };

    std::map<std::string, Counts> queues;
};

} // namespace cranberryreel::cell
