#include "cranberryreel/base/Clock.h"
#include "http/Client.h"
#include "http/ServerBuilder.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

// Measures requests per second through http::Server and http::Client in one process, with a closed loop. Arguments, with defaults: connections (64),
// seconds (3), client threads (2), deferred (0: the handler answers at once; 1: another thread answers).

namespace
{

using namespace cranberryreel;

/// Answers deferred requests on its own thread.
class DeferringHandler
{
public:
    DeferringHandler()
        : thread([this] { this->run(); })
    {
    }

    ~DeferringHandler()
    {
        this->stopping = true;
        this->thread.join();
    }

    DeferringHandler(const DeferringHandler &) = delete;
    DeferringHandler &operator=(const DeferringHandler &) = delete;

    void defer(const http::Responder &respond)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->waiting.push_back(respond);
    }

private:
    void run()
    {
        while (!this->stopping) {
            std::vector<http::Responder> taken;
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                taken.swap(this->waiting);
            }
            for (const http::Responder &respond : taken) {
                respond({200, "application/json", R"({"state":"done"})", false});
            }
            if (taken.empty()) {
                std::this_thread::sleep_for(std::chrono::microseconds(50));
            }
        }
    }

    std::mutex mutex;
    std::vector<http::Responder> waiting;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/// Keeps one call in flight per connection and records latencies and failures.
class ClosedLoop
{
public:
    ClosedLoop(const std::string &target, unsigned int clientCount)
        : host(target)
        , latencies(clientCount)
    {
        http::ClientOptions options;
        options.connectionsPerHost = 10000;
        for (unsigned int i = 0; i < clientCount; ++i) {
            this->clients.push_back(std::make_unique<http::Client>(options));
        }
    }

    void run(int connections, std::chrono::seconds duration)
    {
        this->until = base::steadyNow() + duration;
        for (int i = 0; i < connections; ++i) {
            this->startCall(static_cast<std::size_t>(i) % this->clients.size());
        }
        std::this_thread::sleep_until(this->until + std::chrono::milliseconds(200));
        for (const auto &client : this->clients) {
            client->stop();
        }
    }

    void print(std::chrono::seconds duration)
    {
        std::vector<std::int64_t> all;
        for (const auto &clientLatencies : this->latencies) {
            all.insert(all.end(), clientLatencies.begin(), clientLatencies.end());
        }
        std::sort(all.begin(), all.end());
        const auto at = [&all](double quantile) { return all.empty() ? 0 : all[static_cast<std::size_t>(static_cast<double>(all.size() - 1) * quantile)]; };
        fmt::print("requests/s {:.0f}  p50 {} us  p99 {} us  failed {}\n",
                   static_cast<double>(all.size()) / static_cast<double>(duration.count()),
                   at(0.5),
                   at(0.99),
                   this->failed.load());
    }

private:
    void startCall(std::size_t client)
    {
        http::ClientRequest request;
        request.method = "POST";
        request.host = this->host;
        request.target = "/";
        request.body = R"({"name":"quote","cpu_millis":500,"memory_mib":256,"deadline_ms":2000})";
        const base::SteadyTime begin = base::steadyNow();
        this->clients[client]->call(std::move(request), [this, client, begin](const http::ClientResponse &response) {
            if (response.outcome == http::CallOutcome::Stopped) {
                return;
            }
            const base::SteadyTime now = base::steadyNow();
            if (response.status == 200) {
                this->latencies[client].push_back(std::chrono::duration_cast<std::chrono::microseconds>(now - begin).count());
            } else {
                ++this->failed;
            }
            if (now < this->until) {
                this->startCall(client);
            }
        });
    }

    std::string host;
    base::SteadyTime until;
    std::atomic<int> failed{0};
    std::vector<std::vector<std::int64_t>> latencies; ///< In microseconds, per client; each client has one thread, so no lock is needed.
    std::vector<std::unique_ptr<http::Client>> clients;
};

} // namespace

int main(int argc, char **argv)
{
    const auto argument = [argc, argv](int index, int defaultValue) { return argc > index ? std::atoi(argv[index]) : defaultValue; };
    const int connections = argument(1, 64);
    const std::chrono::seconds duration(argument(2, 3));
    const bool deferred = argument(4, 0) != 0;
    DeferringHandler deferring;
    const auto server = http::ServerBuilder()
                            .handler([&deferring, deferred](const auto &, const auto &respond) {
                                if (deferred) {
                                    deferring.defer(respond);
                                } else {
                                    respond({200, "application/json", R"({"state":"done"})", false});
                                }
                            })
                            .build();
    server->start();
    ClosedLoop loop("127.0.0.1:" + std::to_string(server->port()), static_cast<unsigned int>(argument(3, 2)));
    loop.run(connections, duration);
    loop.print(duration);
    server->stop(std::chrono::seconds(1));
    return 0;
}
