#include "config/StartCheck.h"

#include "observe/Log.h"

namespace cranberryreel::config
{

namespace
{

const observe::Log &log()
{
    static const observe::Log instance("config");
    return instance;
}

} // namespace

StartCheck::StartCheck(const ConfigServiceOptions &serviceOptions,
                       ConfigPeers &configPeers,
                       RevisionExchange &revisionExchange,
                       ActiveConfiguration &configuration)
    : options(serviceOptions)
    , peers(configPeers)
    , exchange(revisionExchange)
    , active(configuration)
{
}

void StartCheck::begin(bool loadedFromDisk)
{
    this->hasRevisionOnDisk = loadedFromDisk;
    this->beginTime = base::steadyNow();
}

void StartCheck::step()
{
    if (!this->ready && !this->inProgress) {
        this->inProgress = true;
        this->fetchFromGroup();
    }
}

void StartCheck::fetchFromGroup()
{
    const std::vector<std::string> &members = this->options.groupMembers;
    for (std::size_t tried = 0; tried < members.size(); tried++) {
        const std::string &member = members[this->nextMemberIndex++ % members.size()];
        if (!this->peers.isUp(member)) {
            continue;
        }
        this->peers.fetch(member, activeTexts(this->active), true, this->options.timings.callLimit, [this](const FetchReply &reply) {
            if (this->exchange.applyFetched(reply)) {
                this->becomeReady("read from the configuration group");
            } else {
                this->fetchFromZone();
            }
        });
        return;
    }
    this->fetchFromZone();
}

void StartCheck::fetchFromZone()
{
    if (base::steadyNow() - this->beginTime < this->options.timings.groupUnreachableAfter) {
        this->inProgress = false;
        return;
    }
    const auto round = std::make_shared<ZoneRound>();
    round->outstanding = 1; // Finished below, so that the round cannot end while the calls are being sent.
    for (const std::string &vm : this->options.zonePeers) {
        if (this->peers.isUp(vm)) {
            round->outstanding++;
            this->peers.fetch(vm, activeTexts(this->active), false, this->options.timings.callLimit, [this, round](const FetchReply &reply) {
                this->onZoneReply(*round, reply);
            });
        }
    }
    this->onZoneReply(*round, {});
}

void StartCheck::onZoneReply(ZoneRound &round, const FetchReply &reply)
{
    if (reply.code == base::ResultCode::Ok && reply.ready && (!round.best.ready || reply.revision > round.best.revision)) {
        round.best = reply;
    }
    if (--round.outstanding > 0) {
        return;
    }
    if (round.best.ready && this->exchange.applyFetched(round.best)) {
        this->becomeReady("configuration group unreachable, read from the zone");
    } else if (!round.best.ready && this->hasRevisionOnDisk) {
        this->becomeReady("configuration group unreachable, loaded from disk");
    }
    this->inProgress = false;
}

void StartCheck::becomeReady(const char *source)
{
    this->inProgress = false;
    this->ready = true;
    log().info("Ready with revision {}: {}.", this->active.revision(), source);
}

bool StartCheck::isReady() const
{
    return this->ready;
}

} // namespace cranberryreel::config
