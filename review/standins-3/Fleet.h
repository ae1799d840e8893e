#pragma once

#include "Cell.h"
#include "Runner.h"

#include <memory>
#include <string>
#include <vector>

namespace review
{

/// The runners of a small deployment, spread over its zones. Owned by the case, which must destroy it before its Cell.
class Fleet
{
public:
    Fleet(Record &caseRecord, Cell &cell, int count);

    const std::vector<std::unique_ptr<Runner>> &runners() const
    {
        return this->all;
    }

    /// The runs that the runners saw of a job, or of all jobs.
    std::vector<SeenRun> seenRuns(const std::string &job = {}) const;

    /// A configuration of one service, "bokun", and one queue, at /quote/.
    static std::string configuration();

private:
    std::vector<std::unique_ptr<Runner>> all;
};

/// Sends a heartbeat that another writer composed, under the id of a runner.
void sendForeignHeartbeat(Record &record, Cell &cell, const std::string &vm, const std::string &id, const nlohmann::json &body);

/// Unix time in milliseconds.
std::int64_t unixMs();

/// Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int runCase(int argc, char **argv, const std::function<std::optional<bool>(Record &)> &holds);

} // namespace review
