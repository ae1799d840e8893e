#include "Client.h"

#include "HttpCall.h"

#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace cranberryreel::review
{

namespace
{

using namespace std::chrono_literals;

constexpr long StatusOk = 200;
constexpr auto Deadline = 3000ms;

} // namespace

Client::Client(const Cell &clientCell, std::string routeHost, Record &caseRecord)
    : cell(clientCell)
    , host(std::move(routeHost))
    , record(caseRecord)
{
}

std::string Client::url(const std::string &path) const
{
    return "http://" + this->cell.frontend(this->cell.entries().front()) + path;
}

long Client::submit(const std::string &prefix, const std::string &id, const std::string &body) const
{
    const HttpAnswer answer = HttpCall{"POST", this->url(prefix + id), body, {"Host: " + this->host, "Deadline-Ms: 3000"}, Deadline}.send();
    this->record.note("client: POST {}{} {} -> {} {}", prefix, id, body, answer.status, answer.body);
    return answer.status;
}

bool Client::submitAccepted(const std::string &prefix, const std::string &id, const std::string &body) const
{
    for (int attempt = 0; attempt < 20; ++attempt) {
        if (this->submit(prefix, id, body) == StatusOk) {
            return true;
        }
        std::this_thread::sleep_for(250ms);
    }
    return false;
}

long Client::cancel(const std::string &prefix, const std::string &id) const
{
    const HttpAnswer answer = HttpCall{"DELETE", this->url(prefix + id), {}, {"Host: " + this->host, "Deadline-Ms: 3000"}, Deadline}.send();
    this->record.note("client: DELETE {}{} -> {}", prefix, id, answer.status);
    return answer.status;
}

std::string Client::state(const std::string &prefix, const std::string &id) const
{
    const HttpAnswer answer = HttpCall{"GET", this->url(prefix + id), {}, {"Host: " + this->host, "Deadline-Ms: 3000"}, Deadline}.send();
    const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    std::string state = answer.status == StatusOk && json.is_object() ? json.value("State", "") : std::to_string(answer.status);
    this->record.note("client: GET {}{} -> {}", prefix, id, state);
    return state;
}

} // namespace cranberryreel::review
