#include "cli/Arguments.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <getopt.h>

namespace cranberryreel::cli
{

namespace
{

[[noreturn]] void usageError(const Command &command, const std::string &sentence)
{
    throw base::Error(base::ResultCode::UsageError, fmt::format("{}; see `cranberryreel {} --help`", sentence, command.words));
}

std::vector<option> toLongOptions(const std::vector<Option> &known)
{
    std::vector<option> longs;
    longs.reserve(known.size() + 1);
    for (const Option &each : known) {
        longs.push_back({each.name, each.value == nullptr ? no_argument : required_argument, nullptr, 0});
    }
    longs.push_back({nullptr, 0, nullptr, 0});
    return longs;
}

} // namespace

Arguments Arguments::parse(const Command &command, const std::vector<std::string> &words)
{
    Arguments arguments;
    arguments.readOptions(command, words);
    if (!arguments.has("help")) {
        arguments.checkOperands(command);
    }
    return arguments;
}

void Arguments::readOptions(const Command &command, std::vector<std::string> words)
{
    std::vector<Option> known = command.options;
    known.insert(known.end(), commonOptions().begin(), commonOptions().end());
    const std::vector<option> longs = toLongOptions(known);
    std::string program = "cranberryreel";
    std::vector<char *> argv = {program.data()};
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const int argc = static_cast<int>(argv.size()) - 1;
    ::optind = 0; // Resets getopt, because this process may have parsed another command line before.
    ::opterr = 0;
    int found = 0;
    while (true) {
        const int result = ::getopt_long(argc, argv.data(), ":", longs.data(), &found);
        if (result == -1) {
            break;
        }
        if (result == ':') {
            usageError(command, fmt::format("'{}' needs a value", argv[static_cast<std::size_t>(::optind) - 1]));
        }
        if (result == '?') {
            usageError(command, fmt::format("'{}' is not an option of this command", argv[static_cast<std::size_t>(::optind) - 1]));
        }
        this->options[longs[static_cast<std::size_t>(found)].name].push_back(::optarg == nullptr ? "" : ::optarg);
    }
    for (int index = ::optind; index < argc; index++) {
        this->operands.emplace_back(argv[static_cast<std::size_t>(index)]);
    }
}

void Arguments::checkOperands(const Command &command) const
{
    const std::vector<std::string> names = absl::StrSplit(command.operands, ' ', absl::SkipWhitespace());
    std::size_t required = 0;
    for (const std::string &name : names) {
        required += name.front() == '[' ? 0 : 1;
    }
    if (this->operands.size() < required) {
        usageError(command, fmt::format("{} is missing", names[this->operands.size()]));
    }
    if (this->operands.size() > names.size()) {
        usageError(command, fmt::format("'{}' is one argument too many", this->operands[names.size()]));
    }
}

bool Arguments::has(const std::string &option) const
{
    return this->options.count(option) > 0;
}

std::string Arguments::text(const std::string &option, const std::string &fallback) const
{
    const auto found = this->options.find(option);
    return found == this->options.end() ? fallback : found->second.back();
}

std::vector<std::string> Arguments::values(const std::string &option) const
{
    const auto found = this->options.find(option);
    return found == this->options.end() ? std::vector<std::string>() : found->second;
}

std::optional<std::int64_t> Arguments::number(const std::string &option) const
{
    const auto found = this->options.find(option);
    if (found == this->options.end()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(found->second.back(), &value)) {
        throw base::Error(base::ResultCode::UsageError, fmt::format("--{}: '{}' is not a whole number", option, found->second.back()));
    }
    return value;
}

std::string Arguments::operand(std::size_t index) const
{
    return index < this->operands.size() ? this->operands[index] : std::string();
}

} // namespace cranberryreel::cli
