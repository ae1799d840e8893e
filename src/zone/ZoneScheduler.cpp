#include "zone/ZoneScheduler.h"

#include "observe/Log.h"

#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone");

constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds BeaconInterval{1000};

} // namespace

ZoneScheduler::ZoneScheduler(SchedulerOptions schedulerOptions,
                             ZoneStore &zoneStore,
                             upstream::UpstreamAdapter &upstreamAdapter,
                             ConfigurationSource configurationSource)
    : options(std::move(schedulerOptions))
    , store(zoneStore)
    , adapter(upstreamAdapter)
    , configuration(std::move(configurationSource))
{
}

ZoneScheduler::~ZoneScheduler()
{
    this->stop();
}

void ZoneScheduler::attach(replication::Group &zoneGroup, BeaconSender beaconSender)
{
    this->group = &zoneGroup;
    this->sendBeacon = std::move(beaconSender);
}

void ZoneScheduler::start()
{
    this->mailbox.start();
}

void ZoneScheduler::stop()
{
    this->mailbox.post([this] { this->endTerm(); });
    this->mailbox.stop();
}

void ZoneScheduler::leadershipAcquired(std::uint64_t term)
{
    this->mailbox.post([this, term] { this->beginTerm(term); });
}

void ZoneScheduler::leadershipLost(std::uint64_t /*term*/)
{
    this->mailbox.post([this] { this->endTerm(); });
}

void ZoneScheduler::beginTerm(std::uint64_t term)
{
    this->endTerm();
    SchedulerContext context{this->options,
                             term,
                             *this->group,
                             this->adapter,
                             this->store,
                             [this, term](base::Mailbox::Item item) { this->postInTerm(term, std::move(item)); },
                             [this, term](std::chrono::milliseconds delay, base::Mailbox::Item item) {
                                 this->mailbox.postAfter(delay, [this, term, item = std::move(item)] {
                                     if (this->activeTerm && this->activeTerm->epoch() == term) {
                                         item();
                                     }
                                 });
                             }};
    this->activeTerm = std::make_unique<LeaderTerm>(std::move(context), [this] { this->requestPlanning(); });
    this->activeTerm->begin(this->configuration());
    this->nextBeacon = base::steadyNow();
    this->tick();
}

void ZoneScheduler::endTerm()
{
    if (!this->activeTerm) {
        return;
    }
    this->activeTerm->resign(this->group->status().leaderVm);
    this->activeTerm.reset();
    Logger.info("Leadership of zone {} lost.", this->options.zone);
}

void ZoneScheduler::postInTerm(std::uint64_t term, base::Mailbox::Item item)
{
    this->mailbox.post([this, term, item = std::move(item)] {
        if (this->activeTerm && this->activeTerm->epoch() == term) {
            item();
        }
    });
}

void ZoneScheduler::requestPlanning()
{
    if (std::exchange(this->planningRequested, true)) {
        return;
    }
    this->mailbox.post([this] {
        this->planningRequested = false;
        if (this->activeTerm) {
            this->activeTerm->planAndPropose();
        }
    });
}

void ZoneScheduler::tick()
{
    if (!this->activeTerm) {
        return;
    }
    this->activeTerm->tick();
    if (const base::SteadyTime now = base::steadyNow(); now >= this->nextBeacon) {
        this->nextBeacon = now + BeaconInterval;
        this->sendBeacon(this->activeTerm->beacon());
    }
    this->mailbox.postAfter(TickInterval, [this, epoch = this->activeTerm->epoch()] {
        if (this->activeTerm && this->activeTerm->epoch() == epoch) {
            this->tick();
        }
    });
}

void ZoneScheduler::call(ZoneCall zoneCall, std::string traceparent, ReplyCallback reply)
{
    if (this->mailbox.depth() > this->options.maxQueuedCalls) {
        ZoneReply full;
        full.code = base::ResultCode::QueueFull;
        full.reason = "the zone's scheduler has reached its limit of queued calls";
        reply(full);
        return;
    }
    this->mailbox.post([this, zoneCall = std::move(zoneCall), traceparent = std::move(traceparent), reply = std::move(reply)] {
        if (this->activeTerm) {
            this->activeTerm->handleCall(zoneCall, traceparent, reply);
            return;
        }
        ZoneReply notLeader;
        notLeader.code = base::ResultCode::NotLeader;
        notLeader.leader = this->group->status().leaderVm;
        notLeader.reason = "another VM leads this zone";
        reply(notLeader);
    });
}

void ZoneScheduler::configurationChanged()
{
    this->mailbox.post([this] {
        if (this->activeTerm) {
            this->activeTerm->applyConfiguration(this->configuration());
        }
    });
}

} // namespace cranberryreel::zone
