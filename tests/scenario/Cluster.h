#pragma once

#include "scenario/ApiClient.h"
#include "scenario/Journal.h"
#include "scenario/Script.h"

#include "support/LinkRelay.h"
#include "support/Process.h"
#include "support/TemporaryFolder.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// The daemons and fake upstreams of a scenario, each a process of its own, connected through a relay on the loopback interface. Owned by the Runner and used
/// by its thread; other threads may call entryUrl().
class Cluster
{
public:
    static constexpr const char *OperatorKey = "operator-key";
    static constexpr const char *PartnerKey = "partner-key";
    static constexpr std::int64_t VmCpuMillis = 16000;
    static constexpr std::int64_t VmMemoryMiB = 32768;

    Cluster();
    ~Cluster();

    void addZone(const ZoneStep &zone);
    void addUpstream(const UpstreamStep &upstream);

    /// Assigns ports, adds the relay links, and writes folders and settings. Must be called before the first start.
    void prepare();

    std::size_t zoneCount() const;
    std::vector<std::string> vms() const;
    std::vector<std::string> vmsOf(const std::string &zone) const;
    std::vector<std::string> upstreams() const;
    std::vector<std::string> upstreamsOf(const std::string &zone) const;
    bool isVm(const std::string &name) const;
    std::string zoneOf(const std::string &name) const;

    void start(const std::string &name);
    void kill(const std::string &name);
    void signal(const std::string &name, int number);
    bool running(const std::string &name);
    bool isThawed(const std::string &name) const;
    std::optional<int> exitStatus(const std::string &name);

    void snapshotDisk(const std::string &vm);
    void wipeDisk(const std::string &vm);
    void rollBackDisk(const std::string &vm);

    /// Sets fault switches of a fake upstream, given as a JSON object.
    void setFaults(const std::string &upstream, const std::string &switches);

    /// Applies a change to all relay links between two processes: first to those dialed by `left`, then to those dialed by `right`.
    void applyToLinks(LinkAction action, const std::string &left, const std::string &right);

    std::string entryUrl(const std::string &vm) const;
    ApiReply callAsOperator(const std::string &vm, const std::string &method, const std::string &path, const std::string &body = "") const;
    std::string registerText() const;
    /// Events of all fake upstreams; a run that a kill interrupted gets an end event with the outcome "killed".
    std::vector<JournalEvent> journal() const;

    /// Returns the end of every process's output, for a failure report.
    std::string outputTails() const;

private:
    struct Node {
        std::string zone;
        bool hasDisk = false;
        bool isUpstream = false;
        unsigned slots = 0;
        std::uint16_t port = 0; ///< HTTP port.
        std::uint16_t linkPort = 0;
        std::unique_ptr<support::Process> process;
        bool frozen = false;
    };

    std::string folderOf(const std::string &name) const;
    std::string settingsOf(const std::string &vm) const;
    std::string witnessOf(const std::string &zone) const;
    std::vector<std::string> configMembers() const;
    std::vector<std::string> commandOf(const std::string &name) const;
    std::vector<std::string> linksDialedBy(const std::string &dialer, const std::string &target) const;

    support::TemporaryFolder folder;
    support::LinkRelay relay;
    std::map<std::string, Node> nodes;
    std::vector<std::string> zones; ///< In the order of the script.
    std::map<std::string, std::vector<std::string>> members; ///< By zone, in the order of the script.
    std::map<std::string, std::uint16_t> relayPorts; ///< By link name.
    std::map<std::string, std::vector<std::int64_t>> killTimes; ///< Per upstream, in nanoseconds of the wall clock.
};

} // namespace cranberryreel::scenario
