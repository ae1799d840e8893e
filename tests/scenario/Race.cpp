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
constexpr unsigned MaxSends = 40;
constexpr Milliseconds PauseBetweenSends{250};
constexpr unsigned SmallestQueue = 1000;

/// False for codes that leave open whether the change was stored, and for codes that ask for a retry.
bool isFinalAnswer(int code)
{
    return code == Won || code == Conflicted;
}

} // namespace

Race::Race(const Cluster &scenarioCluster, unsigned operators, const std::vector<std::string> &vms)
    : cluster(scenarioCluster)
{
    const auto revision = this->cluster.callAsOperator(vms.front(), "GET", "/v1/config/current").json().value("revision", std::uint64_t{0});
    for (unsigned i = 0; i < operators; ++i) {
        OperatorChange change;
        change.text = fmt::format("[partner p1]\nmax_queued = {}\n", SmallestQueue + i);
        change.body = nlohmann::json{{"id", fmt::format("race-{}-{}", revision, i)}, {"from_revision", revision}, {"text", change.text}}.dump();
        this->changes.push_back(std::move(change));
    }
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < this->changes.size(); ++i) {
        threads.emplace_back([this, &vms, i] { send(this->cluster, vms, i, this->changes.at(i)); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

std::string Race::findFault(const std::string &vm) const
{
    const auto winners = std::count_if(this->changes.begin(), this->changes.end(), [](const OperatorChange &change) { return change.code == Won; });
    if (winners != 1) {
        return fmt::format("{} operators won the race.", winners);
    }
    for (const OperatorChange &change : this->changes) {
        if (!isFinalAnswer(change.code) || change.resendCode != change.code) {
            return fmt::format("An operator got code {}, and {} after a resend.", change.code, change.resendCode);
        }
        const auto inForce = this->cluster.callAsOperator(vm, "GET", "/v1/config/current").json().value("rules", "");
        if (change.code == Won && inForce != change.text) {
            return fmt::format("The rules in force at {} are not the winner's.", vm);
        }
    }
    return {};
}

void Race::send(const Cluster &cluster, const std::vector<std::string> &vms, std::size_t first, OperatorChange &change)
{
    for (unsigned sends = 0; sends < MaxSends && !isFinalAnswer(change.code); ++sends) {
        const ApiReply reply = cluster.callAsOperator(vms.at((first + sends) % vms.size()), "POST", "/v1/config/rules", change.body);
        change.code = reply.code();
        if (!isFinalAnswer(change.code)) {
            std::this_thread::sleep_for(PauseBetweenSends);
        }
    }
    change.resendCode = cluster.callAsOperator(vms.at((first + 1) % vms.size()), "POST", "/v1/config/rules", change.body).code();
}

} // namespace cranberryreel::scenario
