#pragma once

#include "cli/Command.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// What stands on the command line after the command's words, read by getopt_long. All its errors are base::Error(UsageError).
class Arguments
{
public:
    /// `words` are the options and operands, without the program's name and the command's words.
    static Arguments parse(const Command &command, const std::vector<std::string> &words);

    bool has(const std::string &option) const;
    std::string text(const std::string &option, const std::string &fallback = "") const;
    std::vector<std::string> all(const std::string &option) const;
    std::optional<std::int64_t> number(const std::string &option) const;

    /// Empty when there are not so many operands.
    std::string operand(std::size_t index) const;

private:
    void take(const Command &command, std::vector<std::string> words);
    void checkOperands(const Command &command) const;

    std::map<std::string, std::vector<std::string>> options;
    std::vector<std::string> operands;
};

} // namespace cranberryreel::cli
