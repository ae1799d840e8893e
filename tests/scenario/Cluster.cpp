#include "scenario/Cluster.h"

#include "config/KeyHash.h"
#include "support/FreePort.h"

#include <fmt/format.h>

#include <absl/strings/str_join.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace cranberryreel::scenario
{

namespace
{

namespace fs = std::filesystem;

constexpr Milliseconds OperatorCallLimit{4000};
constexpr const char *AnyDialer = "*"; ///< An upstream has one address, so the calls of all daemons share one link.
constexpr unsigned DefaultSlots = 8;
constexpr std::size_t TailBytes = 1500;

std::int64_t wallNanoseconds()
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

std::string lastBytes(const std::string &path)
{
    std::ifstream file(path);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return text.size() > TailBytes ? text.substr(text.size() - TailBytes) : text;
}

std::string linkName(const std::string &dialer, const std::string &target)
{
    return fmt::format("{}>{}", dialer, target);
}

} // namespace

Cluster::Cluster() = default;
Cluster::~Cluster() = default;

void Cluster::addZone(const ZoneStep &zone)
{
    this->zones.push_back(zone.zone);
    for (const Member &member : zone.members) {
        Node &node = this->nodes[member.vm];
        node.zone = zone.zone;
        node.hasDisk = member.hasDisk;
        this->members[zone.zone].push_back(member.vm);
    }
}

void Cluster::addUpstream(const UpstreamStep &upstream)
{
    Node &node = this->nodes[upstream.name];
    node.zone = upstream.zone;
    node.isUpstream = true;
    node.slots = upstream.slots.value_or(DefaultSlots);
}

void Cluster::prepare()
{
    for (auto &[name, node] : this->nodes) {
        node.port = support::freePort();
        node.linkPort = support::freePort();
        fs::create_directories(this->folderOf(name) + "/data");
        writeFile(this->folderOf(name) + "/link.key", "scenario-link-key\n");
    }
    for (const auto &[name, node] : this->nodes) {
        if (node.isUpstream) {
            const std::string link = linkName(AnyDialer, name);
            this->relayPorts[link] = this->relay.add(link, support::loopback(node.port));
        }
        for (const auto &[other, otherNode] : this->nodes) {
            if (other == name || otherNode.isUpstream) {
                continue;
            }
            const std::uint16_t target = node.isUpstream ? otherNode.port : otherNode.linkPort;
            const std::string link = linkName(name, other);
            this->relayPorts[link] = this->relay.add(link, support::loopback(target));
        }
    }
    for (const std::string &vm : this->vms()) {
        writeFile(this->folderOf(vm) + "/settings.ini", this->settingsOf(vm));
    }
}

std::size_t Cluster::zoneCount() const
{
    return this->zones.size();
}

std::vector<std::string> Cluster::vms() const
{
    std::vector<std::string> all;
    for (const std::string &zone : this->zones) {
        const std::vector<std::string> &own = this->members.at(zone);
        all.insert(all.end(), own.begin(), own.end());
    }
    return all;
}

std::vector<std::string> Cluster::vmsOf(const std::string &zone) const
{
    return this->members.at(zone);
}

std::vector<std::string> Cluster::upstreams() const
{
    std::vector<std::string> all;
    for (const auto &[name, node] : this->nodes) {
        if (node.isUpstream) {
            all.push_back(name);
        }
    }
    return all;
}

std::vector<std::string> Cluster::upstreamsOf(const std::string &zone) const
{
    std::vector<std::string> own;
    for (const std::string &name : this->upstreams()) {
        if (this->nodes.at(name).zone == zone) {
            own.push_back(name);
        }
    }
    return own;
}

bool Cluster::isVm(const std::string &name) const
{
    return !this->nodes.at(name).isUpstream;
}

std::string Cluster::zoneOf(const std::string &name) const
{
    return this->nodes.at(name).zone;
}

void Cluster::start(const std::string &name)
{
    Node &node = this->nodes.at(name);
    node.frozen = false;
    node.process = std::make_unique<support::Process>(this->commandOf(name), this->folderOf(name) + "/output.log");
}

void Cluster::kill(const std::string &name)
{
    Node &node = this->nodes.at(name);
    if (node.process) {
        node.process->kill();
    }
    this->killTimes[name].push_back(wallNanoseconds());
}

void Cluster::signal(const std::string &name, int number)
{
    Node &node = this->nodes.at(name);
    if (node.process) {
        node.process->signal(number);
        node.frozen = number == SIGSTOP || (node.frozen && number != SIGCONT);
    }
}

bool Cluster::running(const std::string &name)
{
    Node &node = this->nodes.at(name);
    return node.process && node.process->running();
}

bool Cluster::isThawed(const std::string &name) const
{
    return !this->nodes.at(name).frozen;
}

std::optional<int> Cluster::exitStatus(const std::string &name)
{
    Node &node = this->nodes.at(name);
    return node.process ? node.process->exitStatus() : std::nullopt;
}

void Cluster::snapshotDisk(const std::string &vm)
{
    const std::string copy = this->folderOf(vm) + "/snapshot";
    fs::remove_all(copy);
    fs::copy(this->folderOf(vm) + "/data", copy, fs::copy_options::recursive);
}

void Cluster::wipeDisk(const std::string &vm)
{
    fs::remove_all(this->folderOf(vm) + "/data");
    fs::create_directories(this->folderOf(vm) + "/data");
}

void Cluster::rollBackDisk(const std::string &vm)
{
    fs::remove_all(this->folderOf(vm) + "/data");
    fs::copy(this->folderOf(vm) + "/snapshot", this->folderOf(vm) + "/data", fs::copy_options::recursive);
}

void Cluster::setFaults(const std::string &upstream, const std::string &switches)
{
    const std::string url = fmt::format("http://{}/fault", support::loopback(this->nodes.at(upstream).port));
    callApi("POST", url, "", switches, OperatorCallLimit);
}

void Cluster::applyToLinks(LinkAction action, const std::string &left, const std::string &right)
{
    using Change = void (support::LinkRelay::*)(const std::string &);
    struct Changes {
        Change dialedByLeft;
        Change dialedByRight;
    };
    static const std::map<LinkAction, Changes> table{
        {LinkAction::Cut, {&support::LinkRelay::cut, &support::LinkRelay::cut}},
        {LinkAction::CutOneWay, {&support::LinkRelay::cutForward, &support::LinkRelay::cutBackward}},
        {LinkAction::Blackhole, {&support::LinkRelay::blackholeOpen, &support::LinkRelay::blackholeOpen}},
        {LinkAction::Heal, {&support::LinkRelay::heal, &support::LinkRelay::heal}},
    };
    const Changes &changes = table.at(action);
    for (const std::string &link : this->linksDialedBy(left, right)) {
        (this->relay.*changes.dialedByLeft)(link);
    }
    for (const std::string &link : this->linksDialedBy(right, left)) {
        (this->relay.*changes.dialedByRight)(link);
    }
}

std::string Cluster::entryUrl(const std::string &vm) const
{
    return "http://" + support::loopback(this->nodes.at(vm).port);
}

ApiReply Cluster::callAsOperator(const std::string &vm, const std::string &method, const std::string &path, const std::string &body) const
{
    return callApi(method, this->entryUrl(vm) + path, OperatorKey, body, OperatorCallLimit);
}

std::string Cluster::registerText() const
{
    std::string text = fmt::format("[partner p1]\nkey_sha256 = {}\n", config::keyHash(PartnerKey));
    for (const std::string &name : this->upstreams()) {
        text += fmt::format(
            "[vm vm-{0}]\nzone = {1}\nrack = {1}-r1\ncpu_millis = {2}\nmemory_mib = {3}\n", name, this->nodes.at(name).zone, VmCpuMillis, VmMemoryMiB);
    }
    return text;
}

std::vector<JournalEvent> Cluster::journal() const
{
    std::vector<JournalEvent> all;
    for (const std::string &name : this->upstreams()) {
        std::vector<JournalEvent> events = readJournal(this->folderOf(name) + "/journal");
        std::vector<JournalEvent> ended;
        if (const auto killed = this->killTimes.find(name); killed != this->killTimes.end()) {
            for (const std::int64_t killNs : killed->second) {
                for (const RunInterval &interval : runIntervals(events)) {
                    if (interval.startNs < killNs && interval.endNs > killNs) {
                        ended.push_back({false, interval.task, interval.attempt, interval.upstream, interval.vm, killNs, {}, interval.token, "killed"});
                    }
                }
            }
        }
        events.insert(events.end(), ended.begin(), ended.end());
        std::stable_sort(events.begin(), events.end(), [](const JournalEvent &one, const JournalEvent &two) { return one.timeNs < two.timeNs; });
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

std::string Cluster::outputTails() const
{
    std::string text;
    for (const auto &[name, node] : this->nodes) {
        text += fmt::format("--- {} ({})\n{}\n", name, this->folderOf(name), lastBytes(this->folderOf(name) + "/output.log"));
    }
    return text;
}

std::string Cluster::folderOf(const std::string &name) const
{
    return this->folder.name() + "/" + name;
}

std::string Cluster::settingsOf(const std::string &vm) const
{
    const Node &own = this->nodes.at(vm);
    std::string text = fmt::format("[daemon]\nvm = {}\nzone = {}\ncluster = scenario\n{}", vm, own.zone, own.hasDisk ? "data_folder = data\n" : "");
    text += fmt::format("[entry]\nlisten = {}\noperator_key_sha256 = {}\n", support::loopback(own.port), config::keyHash(OperatorKey));
    text += fmt::format("[link]\nlisten = {}\nkey_file = link.key\nheartbeat_ms = 400\ndead_after_ms = 1200\n", support::loopback(own.linkPort));
    text += "[peers]\n";
    for (const std::string &peer : this->vms()) {
        const std::uint16_t port = peer == vm ? own.linkPort : this->relayPorts.at(linkName(vm, peer));
        const Node &node = this->nodes.at(peer);
        text += fmt::format("{} = {} zone={} disk={}\n", peer, support::loopback(port), node.zone, node.hasDisk ? "yes" : "no");
    }
    for (const std::string &zone : this->zones) {
        text += fmt::format("[zone {}]\nmembers = {}\n", zone, absl::StrJoin(this->members.at(zone), ", "));
        if (const std::string witness = this->witnessOf(zone); !witness.empty()) {
            text += fmt::format("witness = {}\n", witness);
        }
    }
    return text + fmt::format("[config_group]\nmembers = {}\n", absl::StrJoin(this->configMembers(), ", "));
}

std::string Cluster::witnessOf(const std::string &zone) const
{
    if (this->members.at(zone).size() % 2 == 1) {
        return {};
    }
    const auto own = std::find(this->zones.begin(), this->zones.end(), zone) - this->zones.begin();
    for (std::size_t step = 1; step < this->zones.size(); ++step) {
        for (const std::string &candidate : this->members.at(this->zones.at((own + step) % this->zones.size()))) {
            if (this->nodes.at(candidate).hasDisk) {
                return candidate;
            }
        }
    }
    return {};
}

std::vector<std::string> Cluster::configMembers() const
{
    std::vector<std::string> chosen;
    for (const std::string &vm : this->vms()) {
        if (this->nodes.at(vm).hasDisk && chosen.size() < 5) {
            chosen.push_back(vm);
        }
    }
    if (chosen.size() % 2 == 0) {
        chosen.pop_back();
    }
    return chosen;
}

std::vector<std::string> Cluster::commandOf(const std::string &name) const
{
    const Node &node = this->nodes.at(name);
    const std::string binaries = CRANBERRYREEL_BINARY_DIR;
    if (!node.isUpstream) {
        return {binaries + "/cranberryreeld", "--settings", this->folderOf(name) + "/settings.ini"};
    }
    std::vector<std::string> entries;
    for (const std::string &vm : this->members.at(node.zone)) {
        entries.push_back(support::loopback(this->relayPorts.at(linkName(name, vm))));
    }
    return {binaries + "/upstream_fake",
            "--id=" + name,
            "--vm=vm-" + name,
            "--zone=" + node.zone,
            "--listen=" + support::loopback(node.port),
            "--advertise=" + support::loopback(this->relayPorts.at(linkName(AnyDialer, name))),
            "--entries=" + absl::StrJoin(entries, ","),
            "--slots=" + std::to_string(node.slots),
            "--cpu=" + std::to_string(VmCpuMillis),
            "--memory=" + std::to_string(VmMemoryMiB),
            "--journal=" + this->folderOf(name) + "/journal"};
}

std::vector<std::string> Cluster::linksDialedBy(const std::string &dialer, const std::string &target) const
{
    const bool isUpstream = this->nodes.at(target).isUpstream;
    if (isUpstream && this->nodes.at(target).zone != this->nodes.at(dialer).zone) {
        return {}; // An upstream is called only by the daemons of its own zone.
    }
    const std::string name = linkName(isUpstream ? AnyDialer : dialer, target);
    return this->relayPorts.count(name) > 0 ? std::vector<std::string>{name} : std::vector<std::string>{};
}

} // namespace cranberryreel::scenario
