#include "config/RevisionSurvey.h"

#include <algorithm>

namespace cranberryreel::config
{

RevisionSurvey::RevisionSurvey(const ConfigServiceOptions &serviceOptions, ConfigPeers &configPeers, const RevisionExchange &revisionExchange)
    : options(serviceOptions)
    , peers(configPeers)
    , exchange(revisionExchange)
{
}

void RevisionSurvey::take(std::uint64_t atLeast, std::chrono::milliseconds wait, std::chrono::milliseconds limit, StatusDone done)
{
    const auto round = std::make_shared<Round>();
    round->done = std::move(done);
    round->open = this->options.vms.size() + 1; // One more, closed below, so that the round cannot end while it is being asked.
    round->vms.resize(this->options.vms.size());
    for (std::size_t index = 0; index < this->options.vms.size(); index++) {
        VmRevision &row = round->vms[index];
        row.vm = this->options.vms[index];
        if (const auto heard = this->exchange.lastHeard().find(row.vm); heard != this->exchange.lastHeard().end()) {
            row.revision = heard->second;
        }
        if (!this->peers.isUp(row.vm)) {
            close(*round);
            continue;
        }
        this->peers.revision(row.vm, atLeast, wait, limit, [round, index](std::optional<std::uint64_t> revision) {
            round->vms[index].reachable = revision.has_value();
            round->vms[index].revision = revision.value_or(round->vms[index].revision);
            close(*round);
        });
    }
    close(*round);
}

void RevisionSurvey::close(Round &round)
{
    if (--round.open > 0) {
        return;
    }
    std::uint64_t highest = 0;
    for (const VmRevision &row : round.vms) {
        highest = std::max(highest, row.revision);
    }
    for (VmRevision &row : round.vms) {
        row.stale = row.revision < highest;
    }
    round.done(std::move(round.vms));
}

} // namespace cranberryreel::config
