#pragma once

#include "cranberryreel/base/Error.h"
#include "http/Client.h"
#include "http/ServerBuilder.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

/// A server that echoes bodies, holds requests to /park until release(), throws on /fail, destroys the responder of /drop unused, sends the connection's number
/// on /connection, and sends BigBytes bytes on /big.
struct ServerFixture {
    static constexpr std::size_t BigBytes = 64U << 20U;

    ServerFixture()
        : ServerFixture(cranberryreel::http::ServerOptions())
    {
    }

    explicit ServerFixture(cranberryreel::http::ServerOptions options)
    {
        options.threads = 2;
        this->server = cranberryreel::http::ServerBuilder()
                           .options(options)
                           .handler([this](const auto &request, const auto &respond) { this->serve(*request, respond); })
                           .build();
        this->server->start();
    }

    ~ServerFixture()
    {
        this->release();
        this->server->stop(std::chrono::milliseconds(0));
    }

    ServerFixture(const ServerFixture &) = delete;
    ServerFixture &operator=(const ServerFixture &) = delete;

    void serve(const cranberryreel::http::Request &request, const cranberryreel::http::Responder &respond)
    {
        if (request.path == "/park") {
            absl::MutexLock lock(&this->mutex);
            this->heldRequests.emplace_back(request.body, respond);
        } else if (request.path == "/fail") {
            throw cranberryreel::base::Error(cranberryreel::base::ResultCode::QueueFull, "Full.");
        } else if (request.path == "/connection") {
            respond({200, "text/plain", std::to_string(request.connection), false});
        } else if (request.path == "/big") {
            respond({200, "application/octet-stream", bigBody(), false});
        } else if (request.path != "/drop") {
            respond({200, "text/plain", request.body, false});
        }
    }

    static std::string bigBody()
    {
        std::string body(BigBytes, '\0');
        for (std::size_t i = 0; i < body.size(); ++i) {
            body[i] = static_cast<char>('a' + (i / 7) % 23);
        }
        return body;
    }

    std::size_t heldCount()
    {
        absl::MutexLock lock(&this->mutex);
        return this->heldRequests.size();
    }

    /// Answers all held requests with their own bodies, newest first.
    void release()
    {
        std::vector<std::pair<std::string, cranberryreel::http::Responder>> taken;
        {
            absl::MutexLock lock(&this->mutex);
            taken.swap(this->heldRequests);
        }
        for (auto one = taken.rbegin(); one != taken.rend(); ++one) {
            one->second({200, "text/plain", one->first, false});
        }
    }

    cranberryreel::http::ClientRequest request(const std::string &target, const std::string &body = "") const
    {
        cranberryreel::http::ClientRequest request;
        request.method = body.empty() ? "GET" : "POST";
        request.host = "127.0.0.1:" + std::to_string(this->server->port());
        request.target = target;
        request.body = body;
        request.limit = std::chrono::seconds(60);
        return request;
    }

    bool echoes(const std::string &body)
    {
        return this->client.callAndWait(this->request("/echo", body)).body == body;
    }

    absl::Mutex mutex;
    std::vector<std::pair<std::string, cranberryreel::http::Responder>> heldRequests ABSL_GUARDED_BY(mutex);
    std::unique_ptr<cranberryreel::http::Server> server;
    cranberryreel::http::Client client;
};
