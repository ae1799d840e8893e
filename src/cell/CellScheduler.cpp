#include "cell/CellScheduler.h"

#include "observe/Log.h"

#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// Resolution of timed work; work that an event makes due is done at once.
constexpr std::chrono::milliseconds TickInterval{50};

} // namespace

CellScheduler::CellScheduler(CellOptions cellOptions, CellStore &cellStore, UpstreamCalls &upstreamCalls, AdviceDispatcher &adviceDispatcher)
    : options(std::move(cellOptions))
    , store(cellStore)
    , calls(upstreamCalls)
    , advice(adviceDispatcher)
{
}

void CellScheduler::attach(replication::Group &cellGroup)
{
    this->group = &cellGroup;
}

void CellScheduler::start()
{
    this->mailbox.start();
}

void CellScheduler::stop()
{
    this->mailbox.post([this] { this->term.reset(); });
    this->mailbox.stop();
}

void CellScheduler::call(wire::CallT call, ReplyCallback reply)
{
    auto shared = std::make_shared<wire::CallT>(std::move(call));
    this->mailbox.post([this, shared, reply = std::move(reply)] {
        if (this->term) {
            this->term->call(std::move(*shared), reply);
            return;
        }
        wire::ReplyT redirect = makeReply(base::ResultCode::NotLeader, "Another VM leads.");
        redirect.leader = this->group->status().leaderVm;
        reply(std::move(redirect));
    });
}

void CellScheduler::leadershipAcquired(std::uint64_t termNumber)
{
    this->mailbox.post([this, termNumber] {
        Logger.info("event=leadership_acquired term={}", termNumber);
        // Work that is posted for a term runs only while that term exists, so late results of an ended term are dropped.
        auto cell = std::make_shared<std::weak_ptr<CellTerm>>();
        auto post = [this, cell](std::function<void()> item) {
            this->mailbox.post([cell, item = std::move(item)] {
                if (const std::shared_ptr<CellTerm> alive = cell->lock()) {
                    item();
                }
            });
        };
        this->term = std::make_shared<CellTerm>(this->options, termNumber, this->store, this->calls, this->advice, *this->group, std::move(post));
        *cell = this->term;
        if (this->onLeadershipAcquired) {
            this->onLeadershipAcquired(termNumber);
        }
        this->scheduleTick();
    });
}

void CellScheduler::leadershipLost(std::uint64_t termNumber)
{
    this->mailbox.post([this, termNumber] {
        Logger.info("event=leadership_lost term={}", termNumber);
        this->term.reset();
    });
}

void CellScheduler::scheduleTick()
{
    this->mailbox.postAfter(TickInterval, [this, ticking = std::weak_ptr<CellTerm>(this->term)] {
        if (const std::shared_ptr<CellTerm> alive = ticking.lock(); alive && alive == this->term) {
            alive->tick();
            this->scheduleTick();
        }
    });
}

} // namespace cranberryreel::cell
