#pragma once

#include "cranberryreel/base/Clock.h"
#include "support/FakeTask.h"
#include "support/FakeUpstreamOptions.h"

#include <string>

namespace cranberryreel::testsupport
{

/// Appends one JSON line for each start and end of a task, with the wall-clock time of the event, for checks after a run. Several processes may write to one
/// file. Owned by the process; may be used from any thread.
class FakeJournal
{
public:
    /// Opens the file; with an empty path nothing is written. Throws base::Error(DataFolderUnwritable).
    explicit FakeJournal(const std::string &path);
    ~FakeJournal();
    FakeJournal(const FakeJournal &) = delete;
    FakeJournal &operator=(const FakeJournal &) = delete;

    void start(const FakeUpstreamOptions &upstream, const FakeTask &task, base::SteadyTime when);
    void end(const FakeUpstreamOptions &upstream, const FakeTask &task, base::SteadyTime when, const std::string &outcome);

private:
    void write(const char *event, const FakeUpstreamOptions &upstream, const FakeTask &task, base::SteadyTime when, const std::string &outcome);

    int file = -1;
};

} // namespace cranberryreel::testsupport
