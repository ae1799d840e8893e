#include "cell/CellScheduler.h"

#include "observe/Log.h"

#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// The grain of all that waits for time alone; what events make due is done at once.
constexpr std::chrono::milliseconds TickEvery{50};

} // namespace

CellScheduler::CellScheduler(CellOptions cellOptions, CellStore &cellStore, UpstreamCalls &upstreamCalls, AdvicePool &advicePool)
    : options(std::move(cellOptions))
    , store(cellStore)
    , calls(upstreamCalls)
    , advice(advicePool)
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

void CellScheduler::call(wire::CallT call, Reply reply)
{
    auto shared = std::make_shared<wire::CallT>(std::move(call));
    this->mailbox.post([this, shared, reply = std::move(reply)] {
        if (this->term) {
            this->term->call(std::move(*shared), reply);
            return;
        }
        wire::ReplyT elsewhere = replyOf(base::ResultCode::NotLeader, "Another VM leads.");
        elsewhere.leader = this->group->status().leaderVm;
        reply(std::move(elsewhere));
    });
}

void CellScheduler::leadershipAcquired(std::uint64_t termNumber)
{
    this->mailbox.post([this, termNumber] {
        Logger.info("event=leads term={}", termNumber);
        // Answers to calls of an ended term find it gone.
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
        if (this->leads) {
            this->leads(termNumber);
        }
        this->scheduleTick();
    });
}

void CellScheduler::leadershipLost(std::uint64_t termNumber)
{
    this->mailbox.post([this, termNumber] {
        Logger.info("event=leads_no_more term={}", termNumber);
        this->term.reset();
    });
}

void CellScheduler::scheduleTick()
{
    this->mailbox.postAfter(TickEvery, [this, ticking = std::weak_ptr<CellTerm>(this->term)] {
        if (const std::shared_ptr<CellTerm> alive = ticking.lock(); alive && alive == this->term) {
            alive->tick();
            this->scheduleTick();
        }
    });
}

} // namespace cranberryreel::cell
