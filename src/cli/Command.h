#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <string>
#include <vector>

namespace cranberryreel::cli
{

class Arguments;
class Session;

/// One long option of a command.
struct Option {
    const char *name;
    const char *value; ///< Placeholder of the value in the help; null for a flag.
    const char *meaning;
};

/// One subcommand: its words on the command line, its help and the function that runs it.
struct Command {
    const char *words; ///< Such as "register load".
    const char *operands; ///< Such as "FILE"; empty for none. Optional operands stand in brackets.
    const char *summary;
    std::vector<Option> options;
    base::ResultCode (*run)(Session &session, const Arguments &arguments);
};

/// Options that every command takes.
const std::vector<Option> &commonOptions();

/// All commands, in the order of the help.
const std::vector<Command> &commandTable();

} // namespace cranberryreel::cli
