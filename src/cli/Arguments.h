#pragma once

#include "cli/Command.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// The options and operands of one command line, parsed by getopt_long. Every member that fails throws base::Error(UsageError).
class Arguments
{
public:
    /// Parses `words`: the command line without the program's name and the words that name the command.
    static Arguments parse(const Command &command, const std::vector<std::string> &words);

    bool has(const std::string &option) const;
    std::string text(const std::string &option, const std::string &fallback = "") const;
    /// Every value of a repeated option; empty when the option is absent.
    std::vector<std::string> values(const std::string &option) const;
    /// Nothing when the option is absent.
    std::optional<std::int64_t> number(const std::string &option) const;

    /// Empty when the command line has fewer operands.
    std::string operand(std::size_t index) const;

private:
    void readOptions(const Command &command, std::vector<std::string> words);
    void checkOperands(const Command &command) const;

    std::map<std::string, std::vector<std::string>> options;
    std::vector<std::string> operands;
};

} // namespace cranberryreel::cli
