#pragma once

#include "settings/SocketAddress.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::settings
{

/// Identity of this daemon.
struct DaemonSettings {
    std::string vm;
    std::string zone;
    std::string cluster = "cranberryreel";
    std::string dataFolder; ///< Folder for persistent state; empty if this VM has no disk.
    std::chrono::milliseconds stopLimit{20000};
};

/// The HTTP server for callers, upstreams and operators.
struct EntrySettings {
    SocketAddress listen;
    std::uint64_t maxConnections = 4000;
    std::uint64_t maxBodyBytes = std::uint64_t{4} << 20U;
    std::chrono::milliseconds requestRead{10000};
    std::string upstreamKeyFile; ///< Empty: upstreams need no key.
    std::string operatorKeyHash; ///< SHA-256, lower-case hex; empty: only the register defines operators.
};

/// Links to the other daemons.
struct LinkSettings {
    SocketAddress listen;
    std::string keyFile;
    std::string nextKeyFile; ///< Second accepted key during a rotation; empty if none.
    std::chrono::milliseconds heartbeat{400};
    std::chrono::milliseconds deadAfter{1200};
};

struct PeerSettings {
    std::string vm;
    SocketAddress address;
    std::string zone;
    bool hasDisk = false;
};

/// The replication group of one availability zone.
struct ZoneSettings {
    std::string zone;
    std::vector<std::string> members;
    std::string witness; ///< A VM with a disk in another zone; empty if none.
};

struct ConfigGroupSettings {
    std::vector<std::string> members;
};

struct TimingSettings {
    std::chrono::milliseconds taskLease{5000};
    std::chrono::milliseconds electionMin{700};
    std::chrono::milliseconds electionMax{1100};
    std::chrono::milliseconds groupHeartbeat{220};
    std::chrono::milliseconds upstreamSilentAfter{2500};
    std::chrono::milliseconds startExpiry{2000};
    std::chrono::milliseconds transferCost{20};
};

struct LimitSettings {
    std::uint64_t maxLinkQueueBytes = std::uint64_t{8} << 20U;
    std::uint64_t snapshotAfterEntries = 8192;
    std::chrono::seconds requestRetention{600};
    std::chrono::seconds keyRetention{86400};
};

struct LogSettings {
    std::string level = "info";
    std::string file; ///< Empty: standard error.
};

struct TraceSettings {
    std::string file; ///< Empty: spans are stored in memory only.
    std::uint64_t keepSpans = 5000;
};

/// All settings of one daemon, as read from its settings file. Immutable once loaded; owned by the daemon's main function.
struct Settings {
    DaemonSettings daemon;
    EntrySettings entry;
    LinkSettings link;
    std::map<std::string, PeerSettings> peers; ///< By VM, this VM included.
    std::map<std::string, ZoneSettings> zones; ///< By zone.
    ConfigGroupSettings configGroup;
    TimingSettings timing;
    LimitSettings limits;
    LogSettings log;
    TraceSettings trace;
};

/// Reads and validates a settings file. Paths in the file are relative to its folder, and key files must exist. Throws base::Error that names file, section
/// and key of every problem, with the code of the first.
Settings load(const std::string &path);

/// Parses and validates a settings text. Paths stay as written and no other file is read. `name` replaces the file name in errors.
Settings parse(const std::string &text, const std::string &name);

} // namespace cranberryreel::settings
