#include "support/LinkRelay.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <iostream>
#include <map>
#include <sstream>
#include <string>

// Runs a LinkRelay as a process, between daemons or in front of an upstream. Reads one command per line from standard input and answers each with "ok ..."
// or "error ...". Exits at the end of its input.
//   link NAME IP:PORT [LISTEN_PORT]    cut NAME    cut-forward NAME    cut-backward NAME    delay NAME MS    blackhole NAME    heal NAME

namespace
{

using cranberryreel::support::LinkRelay;
using CommandHandler = std::string (*)(LinkRelay &, const std::string &name, std::istream &rest);

template<void (LinkRelay::*Change)(const std::string &)>
std::string applyChange(LinkRelay &relay, const std::string &name, std::istream & /*rest*/)
{
    (relay.*Change)(name);
    return {};
}

std::string addLink(LinkRelay &relay, const std::string &name, std::istream &rest)
{
    std::string target;
    std::uint16_t port = 0;
    rest >> target >> port;
    return std::to_string(relay.add(name, target, port));
}

std::string delayLink(LinkRelay &relay, const std::string &name, std::istream &rest)
{
    std::int64_t milliseconds = 0;
    rest >> milliseconds;
    relay.delay(name, std::chrono::milliseconds(milliseconds));
    return {};
}

const std::map<std::string, CommandHandler> &commandTable()
{
    static const std::map<std::string, CommandHandler> table{
        {"link", addLink},
        {"cut", applyChange<&LinkRelay::cut>},
        {"cut-forward", applyChange<&LinkRelay::cutForward>},
        {"cut-backward", applyChange<&LinkRelay::cutBackward>},
        {"delay", delayLink},
        {"blackhole", applyChange<&LinkRelay::blackholeOpen>},
        {"heal", applyChange<&LinkRelay::heal>},
    };
    return table;
}

std::string runCommand(LinkRelay &relay, const std::string &line)
{
    std::istringstream words(line);
    std::string command;
    std::string name;
    words >> command >> name;
    const auto found = commandTable().find(command);
    if (found == commandTable().end()) {
        return "error unknown command " + command;
    }
    try {
        return "ok " + found->second(relay, name, words);
    } catch (const std::exception &error) {
        return fmt::format("error {}", error.what());
    }
}

} // namespace

int main()
{
    LinkRelay relay;
    for (std::string line; std::getline(std::cin, line);) {
        std::cout << runCommand(relay, line) << std::endl;
    }
    return 0;
}
