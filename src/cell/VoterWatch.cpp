#include "cell/VoterWatch.h"

#include "observe/Log.h"
#include "observe/Metrics.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// A voter that has stored nothing for this long is reported. Short pauses of a busy VM stay below it.
constexpr std::chrono::milliseconds ReportSilenceAfter{1000};
constexpr double Unknown = std::numeric_limits<double>::quiet_NaN();

bool isCounting(const replication::PeerHealth &peer)
{
    return peer.hasStoredWithin(ReportSilenceAfter);
}

} // namespace

VoterWatch::VoterWatch()
    : figures(std::make_shared<Figures>())
{
    this->update({});
    using Field = std::atomic<double> Figures::*;
    const auto exportGauge = [this](const char *name, const char *help, Field field) {
        observe::gauge(name, help, "", [values = this->figures, field] { return ((*values).*field).load(); });
    };
    exportGauge("cranberryreel_group_leader_known", "1 when this VM knows a leader of the cell group.", &Figures::leaderKnown);
    exportGauge("cranberryreel_group_voters", "Members of the cell group. Unknown (NaN) on a VM that does not lead.", &Figures::voters);
    exportGauge("cranberryreel_group_voters_counting", "Members that store what the leader sends. NaN on a VM that does not lead.", &Figures::counting);
    exportGauge(
        "cranberryreel_group_standbys_ready", "VMs that can take a lost member's place at once. NaN on a VM that does not lead.", &Figures::standbysReady);
    exportGauge("cranberryreel_group_losses_tolerated",
                "How many of the counting members may fail before the group stands still; negative when it does. NaN on a VM that does not lead.",
                &Figures::lossesTolerated);
}

void VoterWatch::update(const replication::GroupStatus &status)
{
    const auto &peers = status.peers;
    const auto isCountingVoter = [](const replication::PeerHealth &peer) { return peer.voter && isCounting(peer); };
    const auto isReadyStandby = [](const replication::PeerHealth &peer) { return !peer.voter && isCounting(peer); };
    const auto voters = std::count_if(peers.begin(), peers.end(), [](const replication::PeerHealth &peer) { return peer.voter; });
    const auto counting = std::count_if(peers.begin(), peers.end(), isCountingVoter);
    const auto majority = voters / 2 + 1;
    const auto onLeader = [&status](auto value) { return status.leader ? static_cast<double>(value) : Unknown; };
    this->figures->leaderKnown = status.leader || !status.leaderVm.empty() ? 1 : 0;
    this->figures->voters = onLeader(voters);
    this->figures->counting = onLeader(counting);
    this->figures->lossesTolerated = onLeader(counting - majority);
    this->figures->standbysReady = onLeader(std::count_if(peers.begin(), peers.end(), isReadyStandby));
    this->logMembers(status);
    this->logSilentVoters(status);
}

void VoterWatch::logMembers(const replication::GroupStatus &status)
{
    const std::string listed = absl::StrJoin(status.members, ",");
    if (listed != this->members) {
        this->members = listed;
        Logger.info("event=group_members members={} caught_up={}", listed, status.caughtUp);
    }
}

void VoterWatch::logSilentVoters(const replication::GroupStatus &status)
{
    std::set<std::string> now;
    for (const replication::PeerHealth &peer : status.peers) {
        if (!peer.voter) {
            continue;
        }
        if (peer.silentFor >= ReportSilenceAfter) {
            now.insert(peer.vm);
            if (this->silent.count(peer.vm) == 0) {
                Logger.warn("event=voter_silent vm={} silent_ms={} admitted={}", peer.vm, peer.silentFor.count(), peer.counts);
            }
        } else if (peer.counts && this->silent.count(peer.vm) > 0) {
            Logger.info("event=voter_counting vm={}", peer.vm);
        }
    }
    this->silent = std::move(now);
}

} // namespace cranberryreel::cell
