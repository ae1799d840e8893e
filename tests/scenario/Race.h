#pragma once

#include "scenario/Cluster.h"

#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// Operators who change the rules at the same moment from the same revision, and send again after a lost answer. Owned by the runner.
class Race
{
public:
    /// Runs it; returns when every operator has an answer.
    Race(const Cluster &cluster, unsigned operators, const std::vector<std::string> &vms);

    /// What is wrong with the outcome; empty when exactly one won, all others met a conflict, a resend of each got its first answer, and the winner's
    /// text is in force at `vm`.
    std::string complaint(const std::string &vm) const;

private:
    struct Entry {
        std::string body;
        std::string text;
        int code = -1;
        int codeOfResend = -1;
    };

    static void send(const Cluster &cluster, const std::vector<std::string> &vms, std::size_t first, Entry &entry);

    const Cluster &cluster;
    std::vector<Entry> entries;
};

} // namespace cranberryreel::scenario
