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
    const char *value; ///< What stands for its value in the help; null for a flag.
    const char *meaning;
};

/// One subcommand: how it is spelled, what its help says and what runs it.
struct Command {
    const char *words; ///< "register load".
    const char *operands; ///< "FILE"; empty for none. In brackets where it may be left out.
    const char *summary;
    std::vector<Option> options;
    base::ResultCode (*run)(Session &session, const Arguments &arguments);
};

/// Options that every command takes.
const std::vector<Option> &commonOptions();

/// All commands, in the order of the help.
const std::vector<Command> &commandTable();

} // namespace cranberryreel::cli
