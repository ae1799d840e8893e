#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cranberryreel::cell
{

/// Estimates, for each queue, the share of upstreams that the advice service allows for a step, so that a query names no more upstreams than its tasks need.
/// Learns from the service's answers. Not thread-safe. Owned by the AdviceCache; lives for one leader term.
class AdviceAllowRates
{
public:
    /// Records an answer that allowed `allowed` of the `queried` upstreams.
    void recordAnswer(const std::string &queue, std::size_t queried, std::size_t allowed);

    /// The estimated share of allowed upstreams, in (0, 1].
    double rateFor(const std::string &queue) const;

private:
    struct Counts {
        double queried = 0;
        double allowed = 0;
    };

    std::map<std::string, Counts> queues;
};

} // namespace cranberryreel::cell
