#pragma once

#include "cli/Session.h"

#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// The command-line tool: finds and runs the command, and prints an error with a hint on what to do next. Owned by main() or by a test.
class Tool
{
public:
    explicit Tool(const Streams &streamSet);

    /// Runs the command line `words`, given without the program's name. Returns the exit code: the thousands digit of the result code.
    int run(const std::vector<std::string> &words);

private:
    base::ResultCode dispatch(const std::vector<std::string> &words);
    void printError(const std::vector<std::string> &words, base::ResultCode code, const std::string &reason);

    Streams streams;
};

} // namespace cranberryreel::cli
