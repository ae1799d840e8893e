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

StartCheck::StartCheck(const ConfigServiceOptions &serviceOptions, ConfigPeers &configPeers, RevisionExchange &revisionExchange, InForce &configuration)
    : options(serviceOptions)
    , peers(configPeers)
    , exchange(revisionExchange)
    , inForce(configuration)
{
}

void StartCheck::begin(bool keptOnDisk)
{
    this->kept = keptOnDisk;
    this->began = base::steadyNow();
}

void StartCheck::step()
{
    if (!this->ready && !this->asking) {
        this->asking = true;
        this->askGroup();
    }
}

void StartCheck::askGroup()
{
    const std::vector<std::string> &members = this->options.groupMembers;
    for (std::size_t tried = 0; tried < members.size(); tried++) {
        const std::string &member = members[this->memberTurn++ % members.size()];
        if (!this->peers.isUp(member)) {
            continue;
        }
        this->peers.fetch(member, textsInForce(this->inForce), true, this->options.timings.callLimit, [this](const FetchReply &reply) {
            if (this->exchange.adopt(reply)) {
                this->becomeReady("read from the group");
            } else {
                this->askZone();
            }
        });
        return;
    }
    this->askZone();
}

void StartCheck::askZone()
{
    if (base::steadyNow() - this->began < this->options.timings.cutOffAfter) {
        this->asking = false;
        return;
    }
    const auto round = std::make_shared<ZoneRound>();
    round->open = 1; // Closed below, so that the round cannot end while it is being asked.
    for (const std::string &vm : this->options.zonePeers) {
        if (this->peers.isUp(vm)) {
            round->open++;
            this->peers.fetch(vm, textsInForce(this->inForce), false, this->options.timings.callLimit, [this, round](const FetchReply &reply) {
                this->zoneAnswered(*round, reply);
            });
        }
    }
    this->zoneAnswered(*round, {});
}

void StartCheck::zoneAnswered(ZoneRound &round, const FetchReply &reply)
{
    if (reply.code == base::ResultCode::Ok && reply.ready && (!round.best.ready || reply.revision > round.best.revision)) {
        round.best = reply;
    }
    if (--round.open > 0) {
        return;
    }
    if (round.best.ready && this->exchange.adopt(round.best)) {
        this->becomeReady("cut off from the group, read from the zone");
    } else if (!round.best.ready && this->kept) {
        this->becomeReady("cut off from the group, kept on disk");
    }
    this->asking = false;
}

void StartCheck::becomeReady(const char *how)
{
    this->asking = false;
    this->ready = true;
    log().info("Serves from revision {}: {}.", this->inForce.revision(), how);
}

bool StartCheck::isReady() const
{
    return this->ready;
}

} // namespace cranberryreel::config
