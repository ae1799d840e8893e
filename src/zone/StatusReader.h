#pragma once

#include "zone/ActiveJob.h"
#include "zone/JobTable.h"
#include "zone/ZoneReply.h"
#include "zone/ZoneStore.h"

namespace cranberryreel::zone
{

/// Reads the status of jobs: from ZoneStore for replicated jobs, otherwise from JobTable. Owned by JobCallHandler; used on the scheduler's thread only.
class StatusReader
{
public:
    StatusReader(JobTable &jobTable, const ZoneStore &zoneStore);

    /// The reply's code is NotFound if the job is unknown.
    ZoneReply read(const model::JobId &id);
    /// Reads one piece of the answer from byte `offset` on, without copying the whole answer of a job that is not replicated.
    ZoneReply readAnswerPiece(const model::JobId &id, std::uint64_t offset);
    /// The status of a job in JobTable, regardless of ZoneStore.
    ZoneReply readActive(const ActiveJob &job) const;

private:
    JobTable &jobs;
    const ZoneStore &store;
};

} // namespace cranberryreel::zone
