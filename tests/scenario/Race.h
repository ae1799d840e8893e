#pragma once

#include "scenario/Cluster.h"

#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// Several operators who change the rules at once, all from the same revision, and resend after a lost answer. Owned by the Runner.
class Race
{
public:
    /// Runs the race; returns when every operator has an answer.
    Race(const Cluster &cluster, unsigned operators, const std::vector<std::string> &vms);

    /// Describes the first fault of the outcome. Empty when exactly one operator won, all others got a conflict, each resend got the first answer again,
    /// and the winner's rules are in force at `vm`.
    std::string findFault(const std::string &vm) const;

private:
    struct OperatorChange {
        std::string body;
        std::string text;
        int code = -1;
        int resendCode = -1;
    };

    static void send(const Cluster &cluster, const std::vector<std::string> &vms, std::size_t first, OperatorChange &change);

    const Cluster &cluster;
    std::vector<OperatorChange> changes;
};

} // namespace cranberryreel::scenario
