#include "cell/CellRig.h"

#include <thread>
#include <utility>

namespace cranberryreel::support
{

namespace
{

constexpr std::chrono::milliseconds TickInterval{5};

std::string queuePath(const std::string &queueName, const std::string &id)
{
    return "/" + queueName + "/" + id;
}

} // namespace

void AllowAllAdvice::query(const std::string & /*step*/,
                           const std::vector<std::string> &upstreams,
                           std::chrono::milliseconds /*limit*/,
                           cell::AdviceCallback done)
{
    ++this->queries;
    if (this->onQuery) {
        this->onQuery();
    }
    cell::AdviceResult result;
    result.answered = true;
    for (const std::string &id : upstreams) {
        result.tickets.emplace_back(id, "ticket");
    }
    if (this->holdsAnswers) {
        this->heldAnswers.emplace_back([done = std::move(done), result = std::move(result)] { done(result); });
        return;
    }
    done(std::move(result));
}

void AllowAllAdvice::answerHeld()
{
    const std::deque<std::function<void()>> answers = std::move(this->heldAnswers);
    this->heldAnswers.clear();
    for (const std::function<void()> &answer : answers) {
        answer();
    }
}

CellRig::CellRig(std::chrono::milliseconds leaseMax, bool upstreamSpeeds)
    : hub([](const testsupport::FakeHub::Seen &, std::size_t) {
        return link::CallResult{base::ResultCode::LinkDown, false, {}};
    })
    , pool("vm", hub, advice)
{
    this->options.ownVm = "vm";
    this->options.leaseMax = leaseMax;
    this->options.upstreamSpeeds = upstreamSpeeds;
    this->takeOver();
    this->putRules(rules(1));
}

void CellRig::putRules(std::unique_ptr<cell::wire::RulesT> changed)
{
    cell::wire::CallT put;
    put.kind = cell::wire::CallKind::PutRules;
    put.rules = std::move(changed);
    this->call(std::move(put));
}

CellRig::~CellRig()
{
    this->leader.reset();
}

void CellRig::takeOver()
{
    this->leader.reset();
    this->posted.clear();
    ++this->term;
    const auto post = [this, ownerTerm = this->term](std::function<void()> item) {
        this->posted.push_back([this, ownerTerm, item = std::move(item)] {
            if (ownerTerm == this->term) {
                item();
            }
        });
    };
    this->leader = std::make_unique<cell::CellTerm>(this->options, this->term, this->store, this->upstreams, this->pool, this->group, post);
}

void CellRig::addUpstream(const std::string &id, std::uint32_t cpuMillis)
{
    this->upstreams.upstreams[id];
    this->descriptions[id] = *upstream(id, cpuMillis);
    this->announce(this->descriptions[id], 1);
    this->run(std::chrono::milliseconds(20));
}

void CellRig::leave(const std::string &id)
{
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Leave;
    call.path = id;
    this->call(std::move(call));
}

void CellRig::announce(const std::string &id, std::uint64_t sequence)
{
    this->announce(id, sequence, false);
}

void CellRig::announceDraining(const std::string &id, std::uint64_t sequence)
{
    this->announce(id, sequence, true);
}

void CellRig::announce(const std::string &id, std::uint64_t sequence, bool draining)
{
    cell::wire::UpstreamT description = this->descriptions.at(id);
    description.born_ms = this->upstreams.upstreams[id].bornMs;
    description.draining = draining;
    this->announce(description, sequence);
}

void CellRig::announce(const cell::wire::UpstreamT &description, std::uint64_t sequence)
{
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Announce;
    call.announcement = std::make_unique<cell::wire::AnnouncementT>();
    call.announcement->upstream = std::make_unique<cell::wire::UpstreamT>(description);
    call.announcement->sequence = sequence;
    this->call(std::move(call));
}

std::shared_ptr<std::optional<base::ResultCode>> CellRig::send(cell::wire::CallT call)
{
    auto answered = std::make_shared<std::optional<base::ResultCode>>();
    this->leader->call(std::move(call), [answered](const cell::wire::ReplyT &reply) { *answered = static_cast<base::ResultCode>(reply.code); });
    return answered;
}

base::ResultCode CellRig::call(cell::wire::CallT call)
{
    const auto answered = this->send(std::move(call));
    this->runUntil([answered] { return answered->has_value(); });
    return answered->value_or(base::ResultCode::Internal);
}

base::ResultCode CellRig::submit(std::unique_ptr<cell::wire::JobSpecT> spec)
{
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Submit;
    call.host = "host";
    call.path = queuePath(spec->queue, spec->id);
    call.job = std::move(spec);
    return this->call(std::move(call));
}

base::ResultCode CellRig::cancel(const std::string &id)
{
    const std::string queueName = this->store.read([&id](const cell::CellState &state) { return state.jobNamed(id)->spec->queue; });
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::CancelJob;
    call.host = "host";
    call.path = queuePath(queueName, id);
    return this->call(std::move(call));
}

cell::wire::JobState CellRig::jobState(const std::string &id) const
{
    return this->store.read([&id](const cell::CellState &state) { return state.jobNamed(id)->state; });
}

std::uint64_t CellRig::pendingJobs(const std::string &queueName)
{
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::CountPending;
    call.host = "host";
    call.path = queuePath(queueName, {});
    std::optional<std::uint64_t> pending;
    this->leader->call(std::move(call), [&pending](const cell::wire::ReplyT &reply) { pending = reply.pending; });
    return pending.value(); // Reads are answered at once.
}

void CellRig::runPosted()
{
    while (!this->posted.empty()) {
        const std::function<void()> item = std::move(this->posted.front());
        this->posted.pop_front();
        item();
    }
}

void CellRig::run(std::chrono::milliseconds time)
{
    this->runUntil([] { return false; }, time);
}

bool CellRig::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const base::SteadyTime until = base::steadyNow() + limit;
    while (!condition()) {
        if (base::steadyNow() >= until) {
            return false;
        }
        this->leader->tick();
        this->runPosted();
        std::this_thread::sleep_for(TickInterval);
    }
    return true;
}

} // namespace cranberryreel::support
