#include "scenario/Journal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <tuple>

namespace cranberryreel::scenario
{

namespace
{

JournalEvent eventFrom(const nlohmann::json &line)
{
    JournalEvent event;
    event.isStart = line.at("event") == "start";
    event.task = line.at("task");
    event.attempt = line.at("attempt");
    event.upstream = line.at("upstream");
    event.vm = line.at("vm");
    event.timeNs = line.at("t_ns");
    event.size = {line.at("cpu_millis"), line.at("memory_mib"), line.at("accelerators")};
    const nlohmann::json payload = nlohmann::json::parse(line.at("payload").get<std::string>(), nullptr, false);
    event.token = payload.is_object() ? payload.value("echo", "") : "";
    event.outcome = line.at("outcome");
    return event;
}

} // namespace

std::vector<JournalEvent> readJournal(const std::string &path)
{
    std::vector<JournalEvent> events;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_object()) {
            events.push_back(eventFrom(parsed));
        }
    }
    return events;
}

std::vector<RunInterval> runIntervals(const std::vector<JournalEvent> &events)
{
    std::vector<RunInterval> intervals;
    std::map<std::tuple<std::string, std::string, std::uint32_t>, std::size_t> open;
    for (const JournalEvent &event : events) {
        const auto key = std::make_tuple(event.upstream, event.task, event.attempt);
        if (event.isStart) {
            open[key] = intervals.size();
            intervals.push_back(
                {event.task, event.attempt, event.upstream, event.vm, event.token, event.size, event.timeNs, std::numeric_limits<std::int64_t>::max(), ""});
        } else if (const auto found = open.find(key); found != open.end()) {
            intervals.at(found->second).endNs = event.timeNs;
            intervals.at(found->second).outcome = event.outcome;
            open.erase(found);
        }
    }
    return intervals;
}

} // namespace cranberryreel::scenario
