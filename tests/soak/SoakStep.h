#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cranberryreel::soak
{

enum class Action : std::uint8_t {
    Kill,
    Start,
    Freeze,
    Thaw,
    Terminate, ///< SIGTERM; the VM is started again once the process has ended.
    Reload, ///< SIGHUP.
    FillDisk,
    FreeDisk,
    Wipe, ///< Kills the process and deletes the disk.
    Remove, ///< Kills the VM for good.
    Succeed, ///< Starts the successor of a removed VM.
    PowerLoss, ///< Kills all VMs with a disk.
    PowerBack, ///< Starts the VMs that the last loss of power took down.
    Drain, ///< The upstream with the most runs announces its end.
    Vanish, ///< The draining upstream, or else the one with the most runs, is gone for good without a leave message.
    CrashUpstream, ///< Ends the incarnation of the upstream at the place.
    RestartUpstream, ///< Begins the next one, under the same id and address.
    CutUpstream, ///< The upstream at the place gets no calls and its announcements get through to nobody, while it works on.
    RejoinUpstream,
};

/// The action's name in the time line.
const char *nameOf(Action action);

/// One step of a soak's schedule.
struct SoakStep {
    std::chrono::milliseconds time{0}; ///< From the start of the round.
    Action action = Action::Reload;
    bool onEntry = false; ///< The VM is an entry VM; otherwise it is one with a disk.
    bool onLeader = false; ///< The VM is the one that leads; a start or thaw is for the last such VM.
    std::size_t place = 0; ///< Which of these VMs; a successor has the place of the removed VM.
};

} // namespace cranberryreel::soak
