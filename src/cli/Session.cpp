#include "cli/Session.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace cranberryreel::cli
{

namespace
{

constexpr std::chrono::seconds WatchInterval{1};
constexpr const char *ClearScreen = "\033[H\033[2J";

std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::vector<std::string> entryAddresses(const Arguments &arguments)
{
    if (arguments.has("entry")) {
        return arguments.values("entry");
    }
    return absl::StrSplit(environmentVariable("CRANBERRYREEL_ENTRIES"), absl::ByAnyChar(", "), absl::SkipEmpty());
}

std::string readBearerKey(const Arguments &arguments)
{
    const std::string path = arguments.text("key-file", environmentVariable("CRANBERRYREEL_KEY_FILE"));
    return path.empty() ? std::string() : std::string(absl::StripAsciiWhitespace(readFile(path)));
}

} // namespace

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw base::Error(base::ResultCode::UsageError, fmt::format("'{}' cannot be read", path));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Session::Session(const Streams &streamSet, const Arguments &arguments)
    : streams(streamSet)
    , colours(streamSet.onTerminal && environmentVariable("NO_COLOR").empty())
    , json(arguments.has("json"))
    , client(entryAddresses(arguments), readBearerKey(arguments))
{
}

EntryClient &Session::entryClient()
{
    return this->client;
}

std::istream &Session::in()
{
    return this->streams.in;
}

std::ostream &Session::out()
{
    return this->streams.out;
}

std::ostream &Session::err()
{
    return this->streams.err;
}

const Palette &Session::palette() const
{
    return this->colours;
}

bool Session::wantsJson() const
{
    return this->json;
}

bool Session::onTerminal() const
{
    return this->streams.onTerminal;
}

void Session::printJson(const nlohmann::json &document)
{
    this->streams.out << document.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

base::ResultCode Session::showOrWatch(const Arguments &arguments, const std::function<bool()> &printAndContinue)
{
    while (printAndContinue() && arguments.has("watch")) {
        this->streams.out.flush();
        std::this_thread::sleep_for(WatchInterval);
        if (this->streams.onTerminal) {
            this->streams.out << ClearScreen;
        }
    }
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
