#include "replication/DiskLogStore.h"
#include "replication/GroupBuilder.h"

#include "cranberryreel/base/Clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// Measures a replicated group: command rate and latency, traffic of an idle group, time to take over from a lost leader, restart after many changes.
namespace
{

using namespace cranberryreel;
using namespace cranberryreel::replication;
using Milliseconds = std::chrono::duration<double, std::milli>;

/// A state machine of a thousand values that commands overwrite, so that its state stays small.
class Table : public StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override
    {
        this->values[index % Values] = std::string(command);
        return "";
    }

    std::string snapshot() const override
    {
        std::string bytes;
        for (const auto &[key, value] : this->values) {
            bytes += fmt::format("{}={};", key, value);
        }
        return bytes;
    }

    void restore(std::string_view bytes) override
    {
        this->values.clear();
        while (!bytes.empty()) {
            const std::size_t equals = bytes.find('=');
            const std::size_t end = bytes.find(';');
            this->values[std::stoull(std::string(bytes.substr(0, equals)))] = std::string(bytes.substr(equals + 1, end - equals - 1));
            bytes.remove_prefix(end + 1);
        }
    }

private:
    static constexpr std::uint64_t Values = 1000;
    std::map<std::uint64_t, std::string> values;
};

/// A group in this process, connected by direct calls.
class Cluster
{
public:
    Cluster(std::vector<Member> list, std::string dataFolder)
        : members(std::move(list))
        , folder(std::move(dataFolder))
    {
        for (const Member &member : this->members) {
            this->machines.push_back(std::make_unique<Table>());
            GroupBuilder builder;
            builder.ownVm(member.vm).members(this->members).stateMachine(*this->machines.back());
            builder.sendBy([this, vm = member.vm](const std::string &to, std::string bytes) {
                this->bytesSent += bytes.size();
                if (!this->isolating || (vm != this->isolatedVm && to != this->isolatedVm)) {
                    this->groups.at(to)->receive(vm, std::move(bytes));
                }
            });
            if (member.hasDisk) {
                builder.dataFolder(this->folder + "/" + member.vm);
            }
            this->groups[member.vm] = builder.build();
        }
        for (const auto &[vm, group] : this->groups) {
            group->start();
        }
    }

    ~Cluster()
    {
        for (const auto &[vm, group] : this->groups) {
            group->stop(std::chrono::milliseconds(0));
        }
    }

    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /// Waits for a member other than `except` that holds the lease and returns its VM.
    std::string awaitLeader(const std::string &except = "")
    {
        while (true) {
            for (const auto &[vm, group] : this->groups) {
                if (vm != except && group->status().leader) {
                    return vm;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    Group &group(const std::string &vm)
    {
        return *this->groups.at(vm);
    }

    void isolate(const std::string &vm)
    {
        this->isolatedVm = vm;
        this->isolating = true;
    }

    std::uint64_t totalBytesSent() const
    {
        return this->bytesSent;
    }

private:
    std::vector<Member> members;
    std::string folder;
    std::vector<std::unique_ptr<Table>> machines;
    std::map<std::string, std::unique_ptr<Group>> groups;
    std::string isolatedVm;
    std::atomic<bool> isolating{false};
    std::atomic<std::uint64_t> bytesSent{0};
};

double quantile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/// Proposes commands with a bounded number in flight and prints the rate and the latency.
void measureCommands(const std::string &name, Cluster &cluster, int total, int maxInFlight, Durability durability)
{
    constexpr std::size_t CommandBytes = 200;
    Group &leader = cluster.group(cluster.awaitLeader());
    std::vector<double> latencies(static_cast<std::size_t>(total));
    std::atomic<int> done{0};
    std::atomic<int> failed{0};
    const base::SteadyTime start = base::steadyNow();
    for (int i = 0; i < total; ++i) {
        while (i - done >= maxInFlight) {
            std::this_thread::yield();
        }
        const base::SteadyTime proposed = base::steadyNow();
        leader.propose(std::string(CommandBytes, 'x'), durability, [&latencies, &done, &failed, i, proposed](const ProposeResult &result) {
            latencies[static_cast<std::size_t>(i)] = Milliseconds(base::steadyNow() - proposed).count();
            failed += result.code == base::ResultCode::Ok ? 0 : 1;
            ++done;
        });
    }
    while (done < total) {
        std::this_thread::yield();
    }
    const double seconds = Milliseconds(base::steadyNow() - start).count() / 1000.0;
    fmt::print("{}: {} commands of {} bytes, {} under way: {:.0f} a second, wait p50 {:.2f} ms, p99 {:.2f} ms, {} not ok\n",
               name,
               total,
               CommandBytes,
               maxInFlight,
               total / seconds,
               quantile(latencies, 0.5),
               quantile(latencies, 0.99),
               failed.load());
}

void measureIdle(Cluster &cluster)
{
    constexpr std::chrono::seconds Duration{5};
    const std::uint64_t before = cluster.totalBytesSent();
    const std::clock_t processorBefore = std::clock();
    std::this_thread::sleep_for(Duration);
    const double processor = static_cast<double>(std::clock() - processorBefore) / CLOCKS_PER_SEC / static_cast<double>(Duration.count());
    fmt::print("at rest: {} bytes a second for the whole group, {:.2f}% of a core for all its members\n",
               (cluster.totalBytesSent() - before) / static_cast<std::uint64_t>(Duration.count()),
               processor * 100.0);
}

void measureTakeOver(const std::vector<Member> &members, const std::string &folder, int rounds)
{
    std::vector<double> times;
    for (int round = 0; round < rounds; ++round) {
        Cluster cluster(members, folder + "/takeover" + std::to_string(round));
        const std::string leader = cluster.awaitLeader();
        std::this_thread::sleep_for(std::chrono::milliseconds(700 + 37 * round));
        const base::SteadyTime start = base::steadyNow();
        cluster.isolate(leader);
        cluster.awaitLeader(leader);
        times.push_back(Milliseconds(base::steadyNow() - start).count());
    }
    fmt::print(
        "take-over after the leader is isolating off, {} rounds: median {:.0f} ms, worst {:.0f} ms\n", rounds, quantile(times, 0.5), quantile(times, 1.0));
}

void measureRestart(const std::string &folder, std::uint64_t changes)
{
    const std::vector<Member> one{{"c1", true, false}};
    {
        Cluster cluster(one, folder);
        measureCommands("one disk, history", cluster, static_cast<int>(changes), 2000, Durability::SyncedDisk);
    }
    std::uint64_t bytes = 0;
    for (const auto &item : std::filesystem::recursive_directory_iterator(folder)) {
        bytes += item.is_regular_file() ? item.file_size() : 0;
    }
    const base::SteadyTime start = base::steadyNow();
    DiskLogStore store(folder + "/c1");
    const Recovered recovered = store.recover();
    Table table;
    if (recovered.snapshot) {
        table.restore(recovered.snapshot->state);
    }
    fmt::print("restart after {} changes: {:.1f} ms, {} bytes on disk, {} entries after the snapshot\n",
               changes,
               Milliseconds(base::steadyNow() - start).count(),
               bytes,
               recovered.entries.size());
}

} // namespace

int main(int argc, char **argv)
{
    const bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    std::string folder = (std::filesystem::temp_directory_path() / "cranberryreel-bench-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        return EXIT_FAILURE;
    }
    const std::vector<Member> zone{{"a1", false, false}, {"a2", false, false}, {"w1", true, true}};
    const std::vector<Member> disks{{"c1", true, false}, {"c2", true, false}, {"c3", true, false}};
    {
        Cluster cluster(zone, folder + "/zone");
        measureCommands("zone group, majority", cluster, quick ? 20'000 : 200'000, 1000, Durability::Majority);
        measureCommands("zone group, majority, one by one", cluster, 2'000, 1, Durability::Majority);
        measureCommands("zone group, synced disk", cluster, quick ? 5'000 : 50'000, 1000, Durability::SyncedDisk);
        measureIdle(cluster);
    }
    {
        Cluster cluster(disks, folder + "/config");
        measureCommands("three disks, synced disk", cluster, quick ? 5'000 : 50'000, 1000, Durability::SyncedDisk);
    }
    measureTakeOver(zone, folder, quick ? 5 : 20);
    measureRestart(folder + "/history", 100'000);
    std::filesystem::remove_all(folder);
    return EXIT_SUCCESS;
}
