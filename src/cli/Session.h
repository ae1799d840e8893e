#pragma once

#include "cli/Arguments.h"
#include "cli/EntryClient.h"
#include "cli/Palette.h"

#include <functional>
#include <istream>
#include <ostream>
#include <string>

namespace cranberryreel::cli
{

/// The input and output streams of one run of the tool. Owned by main() or by a test.
struct Streams {
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    bool onTerminal = false; ///< Output is a terminal: colours and progress are shown.
};

/// One run of the tool: its streams, output format and client for the entry VMs. Owned by Tool; used by one thread.
class Session
{
public:
    /// Reads the key file. Throws base::Error(UsageError) when it cannot be read.
    Session(const Streams &streamSet, const Arguments &arguments);

    EntryClient &entryClient();
    std::istream &in();
    std::ostream &out();
    std::ostream &err();
    const Palette &palette() const;
    bool wantsJson() const;
    bool onTerminal() const;

    void printJson(const nlohmann::json &json);

    /// Calls `printAndContinue` once, or with --watch every second until it returns false.
    base::ResultCode showOrWatch(const Arguments &arguments, const std::function<bool()> &printAndContinue);

private:
    Streams streams;
    Palette colours;
    bool json;
    EntryClient client;
};

/// Returns the content of a file. Throws base::Error(UsageError).
std::string readFile(const std::string &path);

} // namespace cranberryreel::cli
