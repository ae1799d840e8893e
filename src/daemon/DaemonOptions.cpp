#include "daemon/DaemonOptions.h"

#include "cranberryreel/base/Error.h"

#include <getopt.h>

#include <array>

namespace cranberryreel::daemon
{

namespace
{

constexpr std::array<option, 5> LongOptions = {{{"settings", required_argument, nullptr, 's'},
                                                {"check", no_argument, nullptr, 'c'},
                                                {"version", no_argument, nullptr, 'v'},
                                                {"help", no_argument, nullptr, 'h'},
                                                {nullptr, 0, nullptr, 0}}};

} // namespace

DaemonOptions DaemonOptions::parse(int argc, char **argv)
{
    DaemonOptions options;
    optind = 1;
    opterr = 0;
    for (int found = 0; (found = getopt_long(argc, argv, "s:cvh", LongOptions.data(), nullptr)) != -1;) { // NOLINT(concurrency-mt-unsafe)
        if (found == 's') {
            options.settingsFile = optarg;
        } else if (found == 'c') {
            options.action = DaemonAction::Check;
        } else if (found == 'v') {
            options.action = DaemonAction::ShowVersion;
        } else if (found == 'h') {
            options.action = DaemonAction::ShowHelp;
        } else {
            throw base::Error(base::ResultCode::UsageError, "unknown option or missing value; see cranberryreeld --help");
        }
    }
    if (optind < argc) {
        throw base::Error(base::ResultCode::UsageError, std::string("unexpected argument ") + argv[optind] + "; see cranberryreeld --help");
    }
    const bool needsFile = options.action == DaemonAction::Serve || options.action == DaemonAction::Check;
    if (needsFile && options.settingsFile.empty()) {
        throw base::Error(base::ResultCode::UsageError, "--settings FILE is missing; see cranberryreeld --help");
    }
    return options;
}

std::string DaemonOptions::help()
{
    return "cranberryreeld: the daemon of one entry VM of a cranberryreel deployment.\n"
           "\n"
           "  --settings FILE  serve with these settings (docs/SETTINGS.md)\n"
           "  --check          validate the settings, then exit\n"
           "  --version        print the version\n"
           "  --help           print this help\n"
           "\n"
           "SIGTERM and SIGINT stop the daemon gracefully; SIGHUP reloads the link keys.\n"
           "The exit status is 0, or the thousands digit of the result code (docs/RESULT_CODES.md).\n";
}

} // namespace cranberryreel::daemon
