#include "support/LinkRelay.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <iostream>
#include <map>
#include <sstream>
#include <string>

// A relay between daemons, or before an upstream, as a process of its own. Reads commands from standard input, one a line, and answers each with
// "ok ..." or "error ...". Ends with its input.
//   link NAME IP:PORT [LISTEN_PORT]    cut NAME    cut-forward NAME    cut-backward NAME    delay NAME MS    blackhole NAME    heal NAME

namespace
{

using cranberryreel::support::LinkRelay;
using Verb = std::string (*)(LinkRelay &, const std::string &name, std::istream &rest);

template<void (LinkRelay::*Change)(const std::string &)>
std::string change(LinkRelay &relay, const std::string &name, std::istream & /*rest*/)
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

const std::map<std::string, Verb> &verbs()
{
    static const std::map<std::string, Verb> table{
        {"link", addLink},
        {"cut", change<&LinkRelay::cut>},
        {"cut-forward", change<&LinkRelay::cutForward>},
        {"cut-backward", change<&LinkRelay::cutBackward>},
        {"delay", delayLink},
        {"blackhole", change<&LinkRelay::blackholeOpen>},
        {"heal", change<&LinkRelay::heal>},
    };
    return table;
}

std::string run(LinkRelay &relay, const std::string &line)
{
    std::istringstream words(line);
    std::string verb;
    std::string name;
    words >> verb >> name;
    const auto found = verbs().find(verb);
    if (found == verbs().end()) {
        return "error unknown command " + verb;
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
        std::cout << run(relay, line) << std::endl;
    }
    return 0;
}
