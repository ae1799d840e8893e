#pragma once

#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::testsupport
{

/// Identity and capabilities of one fake upstream.
struct FakeUpstreamOptions {
    std::string id = "up-1";
    std::string vm = "vm-1";
    std::string zone = "z1";
    std::string service; ///< Empty: runs any work.
    std::string listenAddress = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port.
    std::string advertise; ///< "host:port" announced to the entry VMs, such as that of a relay; empty: the listening address.
    std::vector<std::string> entries; ///< "host:port" of the entry VMs that get announcements; empty: none are sent.
    std::string upstreamKey; ///< Bearer key for announcements; empty: none.
    std::uint32_t slots = 8;
    model::Resources capacity{64000, 131072, 0}; ///< Starts that exceed it are refused.
    std::chrono::milliseconds runTime{20}; ///< Run time of tasks whose payload names none.
    std::chrono::milliseconds usageLag{500}; ///< Time from the start of a task until its usage is reported.
    std::chrono::milliseconds announceEvery{1000}; ///< Used until an entry VM requests another interval.
};

} // namespace cranberryreel::testsupport
