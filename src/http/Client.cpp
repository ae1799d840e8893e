#include "http/Client.h"

#include "http/ClientWorker.h"

#include <curl/curl.h>

#include <future>

namespace cranberryreel::http
{

namespace
{

/// Initializes libcurl once per process.
void initializeCurl()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

} // namespace

Client::Client(const ClientOptions &options)
{
    initializeCurl();
    for (unsigned int i = 0; i < options.threads; ++i) {
        this->workers.push_back(std::make_unique<ClientWorker>(options));
    }
}

Client::~Client()
{
    this->stop();
}

void Client::call(ClientRequest request, ClientDone done)
{
    const std::size_t worker = std::hash<std::string>()(request.host) % this->workers.size();
    this->workers[worker]->submit(std::move(request), std::move(done));
}

ClientResponse Client::callAndWait(ClientRequest request)
{
    auto promise = std::make_shared<std::promise<ClientResponse>>();
    std::future<ClientResponse> answer = promise->get_future();
    this->call(std::move(request), [promise](ClientResponse response) { promise->set_value(std::move(response)); });
    return answer.get();
}

void Client::stop()
{
    for (const auto &worker : this->workers) {
        worker->stop();
    }
}

} // namespace cranberryreel::http
