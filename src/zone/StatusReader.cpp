#include "zone/StatusReader.h"

#include "zone/CallCodec.h"
#include "zone/JobRecord.h"

#include <optional>

namespace cranberryreel::zone
{

namespace
{

model::JobState stateOf(const ActiveTask &task, const ActiveJob &job)
{
    if (task.stage == TaskStage::Ended) {
        return job.state;
    }
    return task.stage == TaskStage::Waiting || task.stage == TaskStage::Assigning ? model::JobState::Accepted : model::JobState::Running;
}

ZoneReply pieceOf(const std::string &answer, std::uint64_t offset, base::ResultCode code)
{
    ZoneReply out;
    out.code = code;
    out.answerBytes = answer.size();
    if (offset < answer.size()) {
        out.piece = answer.substr(offset, MaxPieceBytes);
    }
    return out;
}

} // namespace

StatusReader::StatusReader(JobTable &jobTable, const ZoneStore &zoneStore)
    : jobs(jobTable)
    , store(zoneStore)
{
}

ZoneReply StatusReader::of(const model::JobId &id)
{
    if (const ActiveJob *job = this->jobs.find(id); job != nullptr && (!job->replicated || job->submitting)) {
        return this->ofActive(*job);
    }
    if (const std::optional<JobRecord> record = this->store.job(id)) {
        ZoneReply reply;
        reply.status = statusOf(*record);
        reply.answerBytes = reply.status.answer.size();
        return reply;
    }
    return failureReply(base::ResultCode::NotFound, "no such work is known; it may have been forgotten after its retention");
}

ZoneReply StatusReader::piece(const model::JobId &id, std::uint64_t offset)
{
    const ActiveJob *job = this->jobs.find(id);
    if (job == nullptr || job->replicated) {
        ZoneReply kept = this->of(id);
        return pieceOf(kept.status.answer, offset, kept.code);
    }
    return pieceOf(job->answer, offset, base::ResultCode::Ok);
}

ZoneReply StatusReader::ofActive(const ActiveJob &job) const
{
    ZoneReply reply;
    reply.status.id = job.spec.id;
    reply.status.kind = job.spec.kind;
    reply.status.partner = job.spec.partner;
    reply.status.name = job.spec.name;
    reply.status.reason = job.reason;
    reply.status.state = job.finalAt ? job.state : model::JobState::Accepted;
    reply.status.code = job.finalAt ? job.code : base::ResultCode::Ok;
    reply.status.answer = job.answer;
    reply.answerBytes = job.answer.size();
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const ActiveTask &task = job.tasks[index];
        const model::JobState state = stateOf(task, job);
        if (state == model::JobState::Running && !job.finalAt) {
            reply.status.state = model::JobState::Running;
        }
        reply.status.tasks.push_back({index, state, job.finalAt ? job.code : base::ResultCode::Ok, task.upstream, task.attempt});
    }
    return reply;
}

} // namespace cranberryreel::zone
