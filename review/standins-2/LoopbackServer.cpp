#include "LoopbackServer.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <stdexcept>
#include <utility>

namespace cranberryreel::review
{

namespace
{

MHD_Result
onRequest(void *self, MHD_Connection *connection, const char *url, const char *, const char *, const char *upload, std::size_t *uploadSize, void **state)
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
    const char *expected = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Expect-Instance");
    ServedAnswer answer = static_cast<LoopbackServer *>(self)->handle({url, expected == nullptr ? "" : expected, *body});
    if (answer.status == 0) {
        return MHD_NO;
    }
    MHD_Response *response = MHD_create_response_from_buffer(answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<std::string *>(*state);
    *state = nullptr;
}

} // namespace

LoopbackServer::LoopbackServer(Handler requestHandler)
    : handler(std::move(requestHandler))
{
    sockaddr_in listen{};
    listen.sin_family = AF_INET;
    listen.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const unsigned int flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
    this->daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &onRequest, this, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, nullptr, MHD_OPTION_SOCK_ADDR, &listen, MHD_OPTION_END);
    if (this->daemon == nullptr) {
        throw std::runtime_error("a stand-in cannot listen");
    }
    this->ownAddress = fmt::format("127.0.0.1:{}", MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

LoopbackServer::~LoopbackServer()
{
    this->stop();
}

void LoopbackServer::stop()
{
    if (MHD_Daemon *stopped = std::exchange(this->daemon, nullptr)) {
        MHD_stop_daemon(stopped);
    }
}

} // namespace cranberryreel::review
