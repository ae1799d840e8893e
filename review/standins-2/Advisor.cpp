#include "Advisor.h"

#include <microhttpd.h>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <thread>

namespace cranberryreel::review
{

namespace
{

using nlohmann::json;

constexpr unsigned int StatusOk = 200;
constexpr std::chrono::microseconds TimePerWorker{500};

MHD_Result
onRequest(void *self, MHD_Connection *connection, const char *, const char *, const char *, const char *upload, std::size_t *uploadSize, void **state)
{
    if (*state == nullptr) {
        *state = new std::string;
        return MHD_YES;
    }
    auto *body = static_cast<std::string *>(*state);
    if (*uploadSize != 0) {
        body->append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    std::string answer = static_cast<Advisor *>(self)->advise(*body);
    MHD_Response *response = MHD_create_response_from_buffer(answer.size(), answer.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result result = MHD_queue_response(connection, StatusOk, response);
    MHD_destroy_response(response);
    return result;
}

void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<std::string *>(*state);
    *state = nullptr;
}

} // namespace

Advisor::Advisor(std::chrono::milliseconds time, Record &caseRecord)
    : decisionTime(time)
    , record(caseRecord)
{
    const unsigned int flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
    this->server = MHD_start_daemon(flags, 0, nullptr, nullptr, &onRequest, this, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, nullptr, MHD_OPTION_END);
    if (this->server == nullptr) {
        throw std::runtime_error("the advice service cannot listen");
    }
    this->ownAddress = fmt::format("127.0.0.1:{}", MHD_get_daemon_info(this->server, MHD_DAEMON_INFO_BIND_PORT)->port);
}

Advisor::~Advisor()
{
    MHD_stop_daemon(this->server);
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
