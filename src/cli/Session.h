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

/// Where a run of the tool reads and writes. Owned by main, or by a test.
struct Streams {
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    bool onTerminal = false; ///< Colour and progress are shown.
};

/// One run of the tool: its streams, how it prints, and the way to the entry VMs. Owned by Tool.
class Session
{
public:
    /// Reads the key file. Throws base::Error(UsageError) when it cannot be read.
    Session(const Streams &streamSet, const Arguments &arguments);

    EntryClient &entries();
    std::istream &in();
    std::ostream &out();
    std::ostream &err();
    const Palette &palette() const;
    bool wantsJson() const;
    bool onTerminal() const;

    void printJson(const nlohmann::json &json);

    /// Prints once, or with --watch again and again until the view says that it is over.
    base::ResultCode show(const Arguments &arguments, const std::function<bool()> &printAndContinue);

private:
    Streams streams;
    Palette colours;
    bool json;
    EntryClient client;
};

/// The whole of a file. Throws base::Error(UsageError).
std::string readFile(const std::string &path);

} // namespace cranberryreel::cli
