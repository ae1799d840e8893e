#pragma once

#include "cli/Session.h"

#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// The command-line tool: finds the command, runs it, and tells errors with what to do next.
class Tool
{
public:
    explicit Tool(const Streams &streamSet);

    /// `words` is the command line without the program's name. Returns the exit code.
    int run(const std::vector<std::string> &words);

private:
    base::ResultCode dispatch(const std::vector<std::string> &words);
    void printError(const std::vector<std::string> &words, base::ResultCode code, const std::string &reason);

    Streams streams;
};

} // namespace cranberryreel::cli
