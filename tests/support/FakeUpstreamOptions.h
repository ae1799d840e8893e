#pragma once

#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::testsupport
{

/// What one fake upstream is and can do.
struct FakeUpstreamOptions {
    std::string id = "up-1";
    std::string vm = "vm-1";
    std::string zone = "z1";
    std::string service; ///< Empty: any work.
    std::string listenAddress = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free one.
    std::string advertise; ///< "host:port" it names to the entry VMs, such as a relay before it; empty: the one it listens on.
    std::vector<std::string> entries; ///< "host:port" of the entry VMs it announces itself to; empty: it does not.
    std::string upstreamKey; ///< Bearer key for announcements; empty: none.
    std::uint32_t slots = 8;
    model::Resources capacity{64000, 131072, 0}; ///< Starts beyond it are refused.
    std::chrono::milliseconds runTime{20}; ///< Of tasks whose payload names none.
    std::chrono::milliseconds usageLag{500}; ///< Usage is reported so long after it arose.
    std::chrono::milliseconds announceEvery{1000}; ///< Until an entry VM states another interval.
};

} // namespace cranberryreel::testsupport
