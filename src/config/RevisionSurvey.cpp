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

void RevisionSurvey::run(std::uint64_t atLeast, std::chrono::milliseconds wait, std::chrono::milliseconds limit, StatusDone done)
{
    const auto round = std::make_shared<Round>();
    round->done = std::move(done);
    round->outstanding = this->options.vms.size() + 1; // One more, finished below, so that the round cannot end while the calls are being sent.
    round->vms.resize(this->options.vms.size());
    for (std::size_t index = 0; index < this->options.vms.size(); index++) {
        VmRevision &status = round->vms[index];
        status.vm = this->options.vms[index];
        if (const auto seen = this->exchange.lastSeenRevisions().find(status.vm); seen != this->exchange.lastSeenRevisions().end()) {
            status.revision = seen->second;
        }
        if (!this->peers.isUp(status.vm)) {
            finishOne(*round);
            continue;
        }
        this->peers.revision(status.vm, atLeast, wait, limit, [round, index](std::optional<std::uint64_t> revision) {
            round->vms[index].reachable = revision.has_value();
            round->vms[index].revision = revision.value_or(round->vms[index].revision);
            finishOne(*round);
        });
    }
    finishOne(*round);
}

void RevisionSurvey::finishOne(Round &round)
{
    if (--round.outstanding > 0) {
        return;
    }
    std::uint64_t highest = 0;
    for (const VmRevision &status : round.vms) {
        highest = std::max(highest, status.revision);
    }
    for (VmRevision &status : round.vms) {
        status.stale = status.revision < highest;
    }
    round.done(std::move(round.vms));
}

} // namespace cranberryreel::config
