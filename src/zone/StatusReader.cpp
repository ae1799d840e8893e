#include "zone/StatusReader.h"

#include "zone/CallCodec.h"
#include "zone/JobRecord.h"

#include <optional>

namespace cranberryreel::zone
{

namespace
{

model::JobState taskStateOf(const ActiveTask &task, const ActiveJob &job)
{
    if (task.stage == TaskStage::Ended) {
        return job.state;
    }
    return task.stage == TaskStage::Waiting || task.stage == TaskStage::Assigning ? model::JobState::Accepted : model::JobState::Running;
}

ZoneReply makePieceReply(const std::string &answer, std::uint64_t offset, base::ResultCode code)
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

ZoneReply StatusReader::read(const model::JobId &id)
{
    if (const ActiveJob *job = this->jobs.find(id); job != nullptr && (!job->replicated || job->commitPending)) {
        return this->readActive(*job);
    }
    if (const std::optional<JobRecord> record = this->store.findJob(id)) {
        ZoneReply reply;
        reply.status = toJobStatus(*record);
        reply.answerBytes = reply.status.answer.size();
        return reply;
    }
    return failureReply(base::ResultCode::NotFound, "the job is unknown; its record may have been removed after the retention time");
}

ZoneReply StatusReader::readAnswerPiece(const model::JobId &id, std::uint64_t offset)
{
    const ActiveJob *job = this->jobs.find(id);
    if (job == nullptr || job->replicated) {
        ZoneReply stored = this->read(id);
        return makePieceReply(stored.status.answer, offset, stored.code);
    }
    return makePieceReply(job->answer, offset, base::ResultCode::Ok);
}

ZoneReply StatusReader::readActive(const ActiveJob &job) const
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
        const model::JobState state = taskStateOf(task, job);
        if (state == model::JobState::Running && !job.finalAt) {
            reply.status.state = model::JobState::Running;
        }
        reply.status.tasks.push_back({index, state, job.finalAt ? job.code : base::ResultCode::Ok, task.upstream, task.attempt});
    }
    return reply;
}

} // namespace cranberryreel::zone
