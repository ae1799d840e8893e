#pragma once

#include "PartitionableHub.h"
#include "support/Eventually.h"
#include "support/FreePort.h"

#include "config/ConfigServiceBuilder.h"
#include "link/LinkHubBuilder.h"

#include <cstdlib>
#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Six VMs in three zones with real links and a real configuration group of three: in each zone VM "-a" has a disk and is a member, "-b" has neither.
class TestDeployment
{
public:
    const std::vector<std::string> zones = {"rey", "hfj", "akr"};

    TestDeployment()
    {
        std::string name = (std::filesystem::temp_directory_path() / "cranberryreel-config-XXXXXX").string();
        this->folder = ::mkdtemp(name.data());
        for (const std::string &zone : this->zones) {
            for (const char *suffix : {"-a", "-b"}) {
                this->names.push_back(zone + suffix);
                this->ports[zone + suffix] = cranberryreel::support::freePort();
            }
        }
    }

    ~TestDeployment()
    {
        while (!this->running.empty()) {
            this->stop(this->running.begin()->first);
        }
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    TestDeployment(const TestDeployment &) = delete;
    TestDeployment &operator=(const TestDeployment &) = delete;

    void startAll()
    {
        for (const std::string &vm : this->names) {
            this->start(vm);
        }
    }

    void start(const std::string &vm)
    {
        const cranberryreel::settings::Settings given = this->settingsOf(vm);
        cranberryreel::link::LinkHubBuilder links;
        links.vm(vm).cluster("test").listen(given.link.listen.toString()).keys({"key", ""});
        for (const auto &[name, peer] : given.peers) {
            links.peer(name, peer.address.toString());
        }
        Vm made;
        made.hub = std::make_unique<PartitionableHub>(vm, links.build(), this->partitions);
        made.service = cranberryreel::config::ConfigServiceBuilder().settings(given).hub(*made.hub).build();
        made.service->onChange([this, vm, service = made.service.get()](const std::shared_ptr<const cranberryreel::config::Configuration> &now) {
            if (service->isReady()) {
                this->recordServed(vm, now->revision);
            }
        });
        made.hub->start();
        made.service->start();
        this->running[vm] = std::move(made);
    }

    void stop(const std::string &vm)
    {
        Vm &old = this->running.at(vm);
        old.service->stop(std::chrono::milliseconds(500));
        old.hub->stop();
        this->running.erase(vm);
    }

    void wipeDisk(const std::string &vm)
    {
        std::filesystem::remove_all(this->folder + "/" + vm);
    }

    /// Makes each write of the VM's revision file fail as on a full disk.
    void fillDiskOfRevisionFile(const std::string &vm) const
    {
        // A folder that is not empty can be neither opened for writing nor removed as a file.
        std::filesystem::create_directories(this->revisionFile(vm) + ".tmp/full");
    }

    void freeDiskOfRevisionFile(const std::string &vm) const
    {
        std::filesystem::remove_all(this->revisionFile(vm) + ".tmp");
    }

    /// Replaces the VM's revision file by one that cannot be opened.
    void makeRevisionFileUnreadable(const std::string &vm) const
    {
        std::filesystem::remove(this->revisionFile(vm));
        std::filesystem::create_symlink("nowhere", this->revisionFile(vm));
    }

    /// Partitions a zone from all other zones.
    void cutOff(const std::string &zone)
    {
        for (const std::string &left : this->names) {
            for (const std::string &right : this->names) {
                if (zoneOf(left) == zone && zoneOf(right) != zone) {
                    this->partitions->cut(left, right);
                }
            }
        }
    }

    void heal()
    {
        this->partitions->healAll();
    }

    cranberryreel::config::ReplicatedConfigService &operator[](const std::string &vm)
    {
        return *this->running.at(vm).service;
    }

    bool isReady(const std::string &vm)
    {
        const bool ready = (*this)[vm].isReady();
        if (ready) {
            this->recordServed(vm, (*this)[vm].current()->revision);
        }
        return ready;
    }

    bool allReady()
    {
        return cranberryreel::support::eventually(
            [this] { return std::all_of(this->running.begin(), this->running.end(), [this](const auto &entry) { return this->isReady(entry.first); }); });
    }

    bool allAtRevision(std::uint64_t revision)
    {
        return cranberryreel::support::eventually([this, revision] {
            return std::all_of(
                this->running.begin(), this->running.end(), [&](const auto &entry) { return entry.second.service->current()->revision == revision; });
        });
    }

    cranberryreel::config::ChangeReply change(const std::string &vm, const cranberryreel::config::Change &change)
    {
        const auto promise = std::make_shared<std::promise<cranberryreel::config::ChangeReply>>();
        (*this)[vm].change(change, [promise](cranberryreel::config::ChangeReply reply) { promise->set_value(std::move(reply)); });
        return promise->get_future().get();
    }

    std::vector<cranberryreel::config::VmRevision> status(const std::string &vm)
    {
        const auto promise = std::make_shared<std::promise<std::vector<cranberryreel::config::VmRevision>>>();
        (*this)[vm].status([promise](std::vector<cranberryreel::config::VmRevision> rows) { promise->set_value(std::move(rows)); });
        return promise->get_future().get();
    }

    /// Bytes that all VMs have sent to one another since their start.
    std::uint64_t bytesOut() const
    {
        std::uint64_t bytes = 0;
        for (const auto &[vm, each] : this->running) {
            for (const cranberryreel::link::PeerStatus &peer : each.hub->peers()) {
                bytes += peer.bytesOut;
            }
        }
        return bytes;
    }

    /// Returns a register with `vms` VMs.
    static std::string registerWith(int vms)
    {
        std::string text;
        for (int vm = 0; vm < vms; vm++) {
            text += "[vm w" + std::to_string(vm) + "]\nzone = rey\nrack = r" + std::to_string(vm / 6) + "\ncpu_cores = 64\nmemory_gib = 128\n";
        }
        return text;
    }

    /// True when a ready VM had a lower revision than earlier, across restarts.
    bool servedLowerRevision() const
    {
        absl::MutexLock lock(&this->mutex);
        return this->reverted;
    }

private:
    struct Vm {
        std::unique_ptr<PartitionableHub> hub;
        std::unique_ptr<cranberryreel::config::ReplicatedConfigService> service;
    };

    std::string revisionFile(const std::string &vm) const
    {
        return this->folder + "/" + vm + "/config/configuration.revision";
    }

    static std::string zoneOf(const std::string &vm)
    {
        return vm.substr(0, vm.find('-'));
    }

    void recordServed(const std::string &vm, std::uint64_t revision)
    {
        absl::MutexLock lock(&this->mutex);
        std::uint64_t &highest = this->served[vm];
        this->reverted = this->reverted || revision < highest;
        highest = std::max(highest, revision);
    }

    cranberryreel::settings::Settings settingsOf(const std::string &vm) const
    {
        cranberryreel::settings::Settings made;
        made.daemon.vm = vm;
        made.daemon.zone = zoneOf(vm);
        made.link.listen = {"127.0.0.1", this->ports.at(vm)};
        for (const std::string &name : this->names) {
            const bool hasDisk = name.back() == 'a';
            made.peers[name] = {name, {"127.0.0.1", this->ports.at(name)}, zoneOf(name), hasDisk};
            if (hasDisk) {
                made.configGroup.members.push_back(name);
            }
        }
        if (made.peers[vm].hasDisk) {
            made.daemon.dataFolder = this->folder + "/" + vm;
        }
        return made;
    }

    std::string folder;
    std::vector<std::string> names;
    std::map<std::string, std::uint16_t> ports;
    const std::shared_ptr<NetworkPartitions> partitions = std::make_shared<NetworkPartitions>();
    mutable absl::Mutex mutex;
    std::map<std::string, std::uint64_t> served ABSL_GUARDED_BY(mutex);
    bool reverted ABSL_GUARDED_BY(mutex) = false;
    std::map<std::string, Vm> running;
};
