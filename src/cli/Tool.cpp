#include "cli/Tool.h"

#include "cli/Help.h"
#include "cranberryreel/base/Error.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace cranberryreel::cli
{

namespace
{

using base::ResultCode;

constexpr int CodesPerDigit = 1000;

/// What the user can do next after some result codes.
constexpr std::array<std::pair<ResultCode, const char *>, 12> NextSteps = {{
    {ResultCode::EntryUnreachable, "check the addresses given by --entry or CRANBERRYREEL_ENTRIES"},
    {ResultCode::Unauthorized, "give your key with --key-file or CRANBERRYREEL_KEY_FILE"},
    {ResultCode::Forbidden, "use an operator's key"},
    {ResultCode::NotFound, "check the id; finished work is removed after a while"},
    {ResultCode::RevisionConflict, "see `cranberryreel config show`, merge the other change, and load again"},
    {ResultCode::ChangeIdReused, "leave --id out to make a new change"},
    {ResultCode::ConfigurationUnavailable, "see `cranberryreel config status`, and try again when a majority of disks is reachable"},
    {ResultCode::NeverFits, "ask for less, or see the register: `cranberryreel config show register`"},
    {ResultCode::QueueFull, "try again later; `cranberryreel shares` shows who waits"},
    {ResultCode::QuotaExceeded, "`cranberryreel shares` shows your share"},
    {ResultCode::NoLeader, "`cranberryreel zones` shows which zones place; try again"},
    {ResultCode::OutcomeUnknown, "the work may have run; `cranberryreel status ID` shows the outcome once it is known"},
}};

std::string nextStepFor(ResultCode code)
{
    const auto *const found = std::find_if(NextSteps.begin(), NextSteps.end(), [code](const auto &row) { return row.first == code; });
    return found == NextSteps.end() ? std::string() : found->second;
}

/// Returns the command whose words the command line begins with, or null.
const Command *findCommand(const std::vector<std::string> &words)
{
    for (const Command &command : commandTable()) {
        const std::vector<std::string> spelled = absl::StrSplit(command.words, ' ');
        if (words.size() >= spelled.size() && std::equal(spelled.begin(), spelled.end(), words.begin())) {
            return &command;
        }
    }
    return nullptr;
}

std::size_t wordCount(const Command &command)
{
    const std::vector<std::string> spelled = absl::StrSplit(command.words, ' ');
    return spelled.size();
}

bool contains(const std::vector<std::string> &words, const std::string &word)
{
    return std::find(words.begin(), words.end(), word) != words.end();
}

} // namespace

Tool::Tool(const Streams &streamSet)
    : streams(streamSet)
{
}

int Tool::run(const std::vector<std::string> &words)
{
    ResultCode code = ResultCode::Ok;
    try {
        code = this->dispatch(words);
    } catch (const base::Error &error) {
        code = error.code();
        this->printError(words, code, error.what());
    } catch (const std::exception &error) {
        code = ResultCode::Internal;
        this->printError(words, code, error.what());
    }
    this->streams.out.flush();
    return static_cast<int>(code) / CodesPerDigit;
}

ResultCode Tool::dispatch(const std::vector<std::string> &words)
{
    if (words.empty() || words.front() == "--help" || words.front() == "help") {
        this->streams.out << overviewHelp();
        return words.empty() ? ResultCode::UsageError : ResultCode::Ok;
    }
    if (words.front() == "--version") {
        this->streams.out << "cranberryreel " CRANBERRYREEL_VERSION "\n";
        return ResultCode::Ok;
    }
    const Command *command = findCommand(words);
    if (command == nullptr) {
        throw base::Error(ResultCode::UsageError, fmt::format("'{}' is not a command; `cranberryreel --help` lists them", words.front()));
    }
    const std::vector<std::string> rest(words.begin() + static_cast<std::ptrdiff_t>(wordCount(*command)), words.end());
    const Arguments arguments = Arguments::parse(*command, rest);
    if (arguments.has("help")) {
        this->streams.out << commandHelp(*command);
        return ResultCode::Ok;
    }
    Session session(this->streams, arguments);
    return command->run(session, arguments);
}

void Tool::printError(const std::vector<std::string> &words, ResultCode code, const std::string &reason)
{
    const std::string name(base::resultName(code));
    if (contains(words, "--json")) {
        const nlohmann::json body = {{"code", static_cast<int>(code)}, {"code_name", name}, {"reason", reason}};
        this->streams.out << body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
        return;
    }
    this->streams.err << fmt::format("cranberryreel: {} ({}): {}\n", name, static_cast<int>(code), reason);
    if (const std::string nextStep = nextStepFor(code); !nextStep.empty()) {
        this->streams.err << "next: " << nextStep << '\n';
    }
}

} // namespace cranberryreel::cli
