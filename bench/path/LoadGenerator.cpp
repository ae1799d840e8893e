#include "path/LoadGenerator.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace cranberryreel::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr int MaxOpenRequests = 20000;
constexpr milliseconds ResponseMargin{2000}; ///< Added to a request's deadline before the HTTP call times out.
constexpr milliseconds PollInterval{1};
constexpr long HttpOk = 200;

std::string callOutcomeName(http::CallOutcome outcome)
{
    switch (outcome) {
    case http::CallOutcome::TimedOut:
        return "no answer in time";
    case http::CallOutcome::Unreachable:
        return "connection lost or refused";
    default:
        return "call ended";
    }
}

std::string outcomeName(const http::ClientResponse &response)
{
    if (response.outcome != http::CallOutcome::Answered) {
        return callOutcomeName(response.outcome);
    }
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object()) {
        return fmt::format("http {}", response.status);
    }
    const std::string state = response.status == HttpOk ? json.value("state", "?") : "error";
    return state == "done" ? state : fmt::format("{} {} {}", state, json.value("code", 0), json.value("code_name", ""));
}

} // namespace

LoadGenerator::LoadGenerator(LoadOptions loadOptions)
    : options(std::move(loadOptions))
    , runName(fmt::format("{:08x}", std::random_device{}()))
{
    http::ClientOptions clientOptions;
    clientOptions.connectionsPerHost = std::max(1L, static_cast<long>(this->options.connections) / static_cast<long>(this->options.entries.size()));
    for (std::size_t i = 0; i < this->options.entries.size(); ++i) {
        this->clients.push_back(std::make_unique<http::Client>(clientOptions));
    }
}

void LoadGenerator::run()
{
    this->countedSince = base::steadyNow() + this->options.warmUp;
    const base::SteadyTime end = this->countedSince + this->options.duration;
    if (this->options.rate > 0) {
        this->runOpen(end);
    } else {
        this->runClosed(end);
    }
    const base::SteadyTime stopped = base::steadyNow();
    this->awaitOpenRequests();
    this->tally.print(std::min(end, stopped) - this->countedSince, this->options.json);
}

void LoadGenerator::runOpen(base::SteadyTime end)
{
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1.0 / this->options.rate));
    std::size_t entry = 0;
    for (base::SteadyTime due = base::steadyNow(); due < end; due += interval) {
        if (due > base::steadyNow()) {
            std::this_thread::sleep_until(due);
        }
        if (this->openRequests >= MaxOpenRequests) {
            this->tally.addUnsent();
            continue;
        }
        this->send(entry++ % this->clients.size(), due, [] {});
    }
}

void LoadGenerator::runClosed(base::SteadyTime end)
{
    for (int i = 0; i < this->options.connections; ++i) {
        this->sendNext(static_cast<std::size_t>(i) % this->clients.size(), end);
    }
    std::this_thread::sleep_until(end);
}

void LoadGenerator::sendNext(std::size_t entry, base::SteadyTime end)
{
    this->send(entry, base::steadyNow(), [this, entry, end] {
        if (base::steadyNow() < end) {
            this->sendNext(entry, end);
        }
    });
}

void LoadGenerator::send(std::size_t entry, base::SteadyTime due, std::function<void()> then)
{
    http::ClientRequest request;
    request.method = "POST";
    request.host = this->options.entries[entry];
    request.target = "/v1/requests";
    request.bearerKey = this->options.key;
    request.body = this->body(++this->lastNumber);
    request.limit = this->options.deadline + ResponseMargin;
    ++this->openRequests;
    this->clients[entry]->call(std::move(request), [this, due, then = std::move(then)](const http::ClientResponse &response) {
        this->count(response, due);
        then();
        --this->openRequests;
    });
}

std::string LoadGenerator::body(std::uint64_t number) const
{
    nlohmann::json json = {{"name", this->options.name},
                           {"cpu_millis", this->options.cpuMillis},
                           {"memory_mib", this->options.memoryMiB},
                           {"deadline_ms", this->options.deadline.count()},
                           {"payload", this->options.payload}};
    if (!this->options.repeatable) {
        json["repeatable"] = false;
        json["key"] = fmt::format("{}-{}", this->runName, number);
    }
    return json.dump();
}

void LoadGenerator::count(const http::ClientResponse &response, base::SteadyTime due)
{
    if (due >= this->countedSince) {
        this->tally.add(outcomeName(response), base::steadyNow() - due);
    }
}

void LoadGenerator::awaitOpenRequests() const
{
    while (this->openRequests > 0) {
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace cranberryreel::bench
