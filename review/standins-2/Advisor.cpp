#include "Advisor.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace cranberryreel::review
{

namespace
{

using nlohmann::json;

constexpr std::chrono::microseconds TimePerWorker{500};

} // namespace

Advisor::Advisor(std::chrono::milliseconds time, Record &caseRecord)
    : decisionTime(time)
    , record(caseRecord)
    , server([this](const ServedRequest &request) {
        return ServedAnswer{200, this->advise(request.body)};
    })
{
}

std::string Advisor::advise(const std::string &body)
{
    ++this->callCount;
    const json query = json::parse(body, nullptr, false);
    json allowed = json::array();
    if (query.is_object()) {
        const json &workers = query.value("Workers", json::array());
        std::this_thread::sleep_for(this->decisionTime + workers.size() * TimePerWorker);
        for (const json &worker : workers) {
            allowed.push_back({worker, "ticket"});
        }
        this->record.note("advice on {}: {} runners", query.value("Step", ""), allowed.size());
    }
    return json{{"Allowed", allowed}}.dump();
}

} // namespace cranberryreel::review
