#pragma once

#include <string>

namespace cranberryreel::daemon
{

enum class DaemonAction {
    Serve,
    Check,
    ShowVersion,
    ShowHelp,
};

/// The daemon's command line.
struct DaemonOptions {
    DaemonAction action = DaemonAction::Serve;
    std::string settingsFile;

    /// Throws base::Error(UsageError).
    static DaemonOptions parse(int argc, char **argv);
    static std::string help();
};

} // namespace cranberryreel::daemon
