#include "cranberryreel/base/Error.h"
#include "daemon/Daemon.h"
#include "daemon/DaemonOptions.h"
#include "observe/LogSetup.h"
#include "settings/Settings.h"

#include <log4cplus/initializer.h>

#include <curl/curl.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>

namespace
{

using cranberryreel::base::ResultCode;
using cranberryreel::daemon::Daemon;
using cranberryreel::daemon::DaemonAction;
using cranberryreel::daemon::DaemonOptions;

constexpr int CodesPerExitStatus = 1000;

int exitStatus(ResultCode code)
{
    return static_cast<int>(code) / CodesPerExitStatus;
}

/// Blocks the handled signals. Called first in main(), since a signal may come within milliseconds of the start. All threads inherit the mask, so only
/// sigwait() in serve() receives them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(const cranberryreel::settings::Settings &settings, const sigset_t &signals)
{
    Daemon daemon(settings);
    daemon.start();
    for (int received = 0; sigwait(&signals, &received) == 0;) {
        if (received != SIGHUP) {
            break;
        }
        daemon.reloadKeys();
    }
    daemon.stopGracefully();
    return 0;
}

int run(const DaemonOptions &options, const sigset_t &signals)
{
    if (options.action == DaemonAction::ShowVersion) {
        std::puts("cranberryreeld " CRANBERRYREEL_VERSION);
        return 0;
    }
    if (options.action == DaemonAction::ShowHelp) {
        std::fputs(DaemonOptions::help().c_str(), stdout);
        return 0;
    }
    const cranberryreel::settings::Settings settings = cranberryreel::settings::load(options.settingsFile);
    if (options.action == DaemonAction::Check) {
        std::printf("%s: the settings are valid\n", options.settingsFile.c_str());
        return 0;
    }
    cranberryreel::observe::setUpLog({settings.log.level, settings.log.file});
    const int status = serve(settings, signals);
    cranberryreel::observe::shutDownLog();
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    const sigset_t signals = blockSignals();
    const log4cplus::Initializer logInitializer;
    curl_global_init(CURL_GLOBAL_ALL);
    try {
        return run(DaemonOptions::parse(argc, argv), signals);
    } catch (const cranberryreel::base::Error &error) {
        std::fprintf(stderr, "cranberryreeld: %d %s: %s\n", static_cast<int>(error.code()), cranberryreel::base::resultName(error.code()).data(), error.what());
        return exitStatus(error.code());
    } catch (const std::exception &error) {
        std::fprintf(stderr, "cranberryreeld: %d Internal: %s\n", static_cast<int>(ResultCode::Internal), error.what());
        return exitStatus(ResultCode::Internal);
    }
}
