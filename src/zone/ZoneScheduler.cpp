#include "zone/ZoneScheduler.h"

#include "observe/Log.h"

#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone");

constexpr std::chrono::milliseconds TickEvery{100};
constexpr std::chrono::milliseconds BeaconEvery{1000};

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
                             [this, term](base::Mailbox::Item item) { this->guard(term, std::move(item)); },
                             [this, term](std::chrono::milliseconds delay, base::Mailbox::Item item) {
                                 this->mailbox.postAfter(delay, [this, term, item = std::move(item)] {
                                     if (this->active && this->active->epoch() == term) {
                                         item();
                                     }
                                 });
                             }};
    this->active = std::make_unique<LeaderTerm>(std::move(context), [this] { this->wantPump(); });
    this->active->begin(this->configuration());
    this->nextBeacon = base::steadyNow();
    this->tick();
}

void ZoneScheduler::endTerm()
{
    if (!this->active) {
        return;
    }
    this->active->resign(this->group->status().leaderVm);
    this->active.reset();
    Logger.info("No longer schedules {}.", this->options.zone);
}

void ZoneScheduler::guard(std::uint64_t term, base::Mailbox::Item item)
{
    this->mailbox.post([this, term, item = std::move(item)] {
        if (this->active && this->active->epoch() == term) {
            item();
        }
    });
}

void ZoneScheduler::wantPump()
{
    if (std::exchange(this->pumpWanted, true)) {
        return;
    }
    this->mailbox.post([this] {
        this->pumpWanted = false;
        if (this->active) {
            this->active->pump();
        }
    });
}

void ZoneScheduler::tick()
{
    if (!this->active) {
        return;
    }
    this->active->tick();
    if (const base::SteadyTime now = base::steadyNow(); now >= this->nextBeacon) {
        this->nextBeacon = now + BeaconEvery;
        this->sendBeacon(this->active->beacon());
    }
    this->mailbox.postAfter(TickEvery, [this, epoch = this->active->epoch()] {
        if (this->active && this->active->epoch() == epoch) {
            this->tick();
        }
    });
}

void ZoneScheduler::call(ZoneCall zoneCall, std::string traceparent, Reply reply)
{
    if (this->mailbox.depth() > this->options.maxBacklog) {
        ZoneReply full;
        full.code = base::ResultCode::QueueFull;
        full.reason = "the zone's scheduler has more calls than it may queue";
        reply(full);
        return;
    }
    this->mailbox.post([this, zoneCall = std::move(zoneCall), traceparent = std::move(traceparent), reply = std::move(reply)] {
        if (this->active) {
            this->active->call(zoneCall, traceparent, reply);
            return;
        }
        ZoneReply elsewhere;
        elsewhere.code = base::ResultCode::NotLeader;
        elsewhere.leader = this->group->status().leaderVm;
        elsewhere.reason = "another VM schedules this zone";
        reply(elsewhere);
    });
}

void ZoneScheduler::configurationChanged()
{
    this->mailbox.post([this] {
        if (this->active) {
            this->active->configured(this->configuration());
        }
    });
}

} // namespace cranberryreel::zone
