#include "zone/Commands.h"

#include "zone/WireCodec.h"
#include "zone/WireTime.h"

#include <memory>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

template<typename Body>
std::string encode(Body body)
{
    wire::CommandT command;
    command.body.Set(std::move(body));
    return packTable<wire::Command>(command);
}

} // namespace

std::string submitCommand(const model::JobSpec &spec, std::chrono::milliseconds now)
{
    wire::SubmitJobT body;
    body.spec = std::make_unique<wire::SpecT>(toWire(spec));
    body.now_unix_ms = millisToWire(now);
    return encode(std::move(body));
}

std::string changeCommand(const std::vector<TaskChange> &changes, std::chrono::milliseconds now)
{
    wire::ChangeTasksT body;
    for (const TaskChange &change : changes) {
        body.changes.push_back(std::make_unique<wire::TaskChangeT>(toWire(change)));
    }
    body.now_unix_ms = millisToWire(now);
    return encode(std::move(body));
}

std::string cancelCommand(const model::JobId &job, std::chrono::milliseconds now)
{
    wire::CancelJobT body;
    body.job = job;
    body.now_unix_ms = millisToWire(now);
    return encode(std::move(body));
}

std::string refuseCommand(const model::JobId &job, base::ResultCode code, const std::string &reason, std::chrono::milliseconds now)
{
    wire::RefuseJobT body;
    body.job = job;
    body.code = static_cast<int>(code);
    body.reason = reason;
    body.now_unix_ms = millisToWire(now);
    return encode(std::move(body));
}

std::string recordUpstreamCommand(const UpstreamRecord &upstream)
{
    wire::SeeUpstreamT body;
    body.upstream = std::make_unique<wire::UpstreamT>(toWire(upstream));
    return encode(std::move(body));
}

std::string removeUpstreamCommand(const std::string &id)
{
    wire::ForgetUpstreamT body;
    body.id = id;
    return encode(std::move(body));
}

std::string drainCommand(const std::string &vm, bool draining)
{
    wire::DrainVmT body;
    body.vm = vm;
    body.draining = draining;
    return encode(std::move(body));
}

std::string expireCommand(std::chrono::milliseconds jobsBefore, std::chrono::milliseconds keysBefore)
{
    wire::ExpireT body;
    body.jobs_before_unix_ms = millisToWire(jobsBefore);
    body.keys_before_unix_ms = millisToWire(keysBefore);
    return encode(body);
}

} // namespace cranberryreel::zone
