#include "scenario/Race.h"

#include "cranberryreel/base/ResultCode.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace cranberryreel::scenario
{

namespace
{

constexpr int Won = static_cast<int>(base::ResultCode::Ok);
constexpr int Conflicted = static_cast<int>(base::ResultCode::RevisionConflict);
constexpr unsigned MostSends = 40;
constexpr Milliseconds PauseBetweenSends{250};
constexpr unsigned SmallestQueue = 1000;

/// Codes that say nothing about whether the change was kept, or that ask to try again.
bool isAnswer(int code)
{
    return code == Won || code == Conflicted;
}

} // namespace

Race::Race(const Cluster &scenarioCluster, unsigned operators, const std::vector<std::string> &vms)
    : cluster(scenarioCluster)
{
    const auto revision = this->cluster.asOperator(vms.front(), "GET", "/v1/config/current").json().value("revision", std::uint64_t{0});
    for (unsigned i = 0; i < operators; ++i) {
        Entry entry;
        entry.text = fmt::format("[partner p1]\nmax_queued = {}\n", SmallestQueue + i);
        entry.body = nlohmann::json{{"id", fmt::format("race-{}-{}", revision, i)}, {"from_revision", revision}, {"text", entry.text}}.dump();
        this->entries.push_back(std::move(entry));
    }
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        threads.emplace_back([this, &vms, i] { send(this->cluster, vms, i, this->entries.at(i)); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

std::string Race::complaint(const std::string &vm) const
{
    const auto winners = std::count_if(this->entries.begin(), this->entries.end(), [](const Entry &entry) { return entry.code == Won; });
    if (winners != 1) {
        return fmt::format("{} operators won the race.", winners);
    }
    for (const Entry &entry : this->entries) {
        if (!isAnswer(entry.code) || entry.codeOfResend != entry.code) {
            return fmt::format("An operator was told {}, and {} after a resend.", entry.code, entry.codeOfResend);
        }
        const auto inForce = this->cluster.asOperator(vm, "GET", "/v1/config/current").json().value("rules", "");
        if (entry.code == Won && inForce != entry.text) {
            return fmt::format("The rules in force at {} are not the winner's.", vm);
        }
    }
    return {};
}

void Race::send(const Cluster &cluster, const std::vector<std::string> &vms, std::size_t first, Entry &entry)
{
    for (unsigned sends = 0; sends < MostSends && !isAnswer(entry.code); ++sends) {
        const ApiReply reply = cluster.asOperator(vms.at((first + sends) % vms.size()), "POST", "/v1/config/rules", entry.body);
        entry.code = reply.code();
        if (!isAnswer(entry.code)) {
            std::this_thread::sleep_for(PauseBetweenSends);
        }
    }
    entry.codeOfResend = cluster.asOperator(vms.at((first + 1) % vms.size()), "POST", "/v1/config/rules", entry.body).code();
}

} // namespace cranberryreel::scenario
