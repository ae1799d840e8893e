#include "cli/Help.h"

#include <fmt/format.h>

namespace cranberryreel::cli
{

namespace
{

std::string optionLine(const Option &option)
{
    const std::string spelled = option.value == nullptr ? fmt::format("--{}", option.name) : fmt::format("--{} {}", option.name, option.value);
    return fmt::format("  {:<18} {}\n", spelled, option.meaning);
}

} // namespace

std::string commandHelp(const Command &command)
{
    const std::string operands = command.operands;
    std::string text = fmt::format("cranberryreel {}{} [OPTIONS]\n{}\n\n", command.words, operands.empty() ? "" : " " + operands, command.summary);
    for (const std::vector<Option> *options : {&command.options, &commonOptions()}) {
        for (const Option &option : *options) {
            text += optionLine(option);
        }
    }
    return text;
}

std::string overviewHelp()
{
    std::string text = "cranberryreel COMMAND [OPTIONS]; each command has --help\n\n";
    for (const Command &command : commandTable()) {
        text += fmt::format("  {:<16} {}\n", command.words, command.summary);
    }
    text += "\nExit code: 0, or the thousands digit of the result code (docs/RESULT_CODES.md).\n";
    return text;
}

} // namespace cranberryreel::cli
