#include "settings/SettingsParser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace cranberryreel::settings
{

namespace
{

using base::ResultCode;

constexpr const char *ZonePrefix = "zone ";
constexpr std::size_t MaxConfigGroupMembers = 7;

struct FieldReader {
    const SettingKey &row;
    const IniEntry &entry;
    IniPlace place;
    ProblemList &problems;

    void operator()(std::string *field) const
    {
        this->checkText(this->entry.value);
        *field = this->entry.value;
    }

    void operator()(std::uint64_t *field) const
    {
        *field = this->number("a whole number").value_or(*field);
    }

    void operator()(std::chrono::milliseconds *field) const
    {
        if (const auto value = this->number("a whole number of milliseconds")) {
            *field = std::chrono::milliseconds(*value);
        }
    }

    void operator()(std::chrono::seconds *field) const
    {
        if (const auto value = this->number("a whole number of seconds")) {
            *field = std::chrono::seconds(*value);
        }
    }

    void operator()(SocketAddress *field) const
    {
        if (const auto address = SocketAddress::parse(this->entry.value)) {
            *field = *address;
        } else {
            this->problems.add(ResultCode::SettingsBadValue, this->place, fmt::format("'{}' is not IP:port", this->entry.value));
        }
    }

    void operator()(std::vector<std::string> *field) const
    {
        *field = splitList(this->entry.value);
        for (const std::string &item : *field) {
            this->checkText(item);
        }
    }

    void checkText(const std::string &value) const
    {
        if (const auto problem = this->row.check(value)) {
            this->problems.add(ResultCode::SettingsBadValue, this->place, fmt::format("'{}' {}", value, *problem));
        }
    }

    std::optional<std::uint64_t> number(const char *expected) const
    {
        std::uint64_t value = 0;
        if (!absl::SimpleAtoi(this->entry.value, &value)) {
            this->problems.add(ResultCode::SettingsBadValue, this->place, fmt::format("'{}' is not {}; the key names the unit", this->entry.value, expected));
            return std::nullopt;
        }
        if (value < this->row.lowest || value > this->row.highest) {
            this->problems.add(
                ResultCode::SettingsOutOfRange, this->place, fmt::format("{} is not within {} to {}", value, this->row.lowest, this->row.highest));
            return std::nullopt;
        }
        return value;
    }
};

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool hasDuplicates(std::vector<std::string> list)
{
    std::sort(list.begin(), list.end());
    return std::adjacent_find(list.begin(), list.end()) != list.end();
}

} // namespace

SettingsParser::SettingsParser(const IniDocument &parsed, ProblemList &problemList)
    : document(parsed)
    , problems(problemList)
{
}

Settings SettingsParser::run()
{
    this->reportUnknownKeys();
    this->readTable();
    this->readPeers();
    this->readZones();
    if (this->problems.empty()) {
        this->checkPeers();
        this->checkZones();
        this->checkConfigGroup();
        this->checkTiming();
    }
    return this->settings;
}

void SettingsParser::readTable()
{
    for (const SettingKey &row : settingsTable()) {
        const IniSection *section = this->document.find(row.section);
        const IniEntry *entry = section == nullptr ? nullptr : section->find(row.key);
        if (entry != nullptr && !entry->value.empty()) {
            this->readField(row, *entry);
        } else if (row.required) {
            this->problems.add(
                ResultCode::SettingsMissingKey, {row.section, row.key, entry == nullptr ? 0 : entry->line}, fmt::format("is required: {}", row.meaning));
        }
    }
}

void SettingsParser::readField(const SettingKey &row, const IniEntry &entry)
{
    std::visit(FieldReader{row, entry, {row.section, row.key, entry.line}, this->problems}, row.field(this->settings));
}

void SettingsParser::readPeers()
{
    const IniSection *section = this->document.find("peers");
    if (section == nullptr || section->entries.empty()) {
        this->problems.add(ResultCode::SettingsMissingKey, {"peers", "", 0}, "is required: one line for each VM, such as `a = 127.0.0.1:7101 zone=z disk=yes`");
        return;
    }
    for (const IniEntry &entry : section->entries) {
        this->readPeer(*section, entry);
    }
}

void SettingsParser::readPeer(const IniSection &section, const IniEntry &entry)
{
    const IniPlace place{section.name, entry.key, entry.line};
    const auto addBadValue = [&](const std::string &message) { this->problems.add(ResultCode::SettingsBadValue, place, message); };
    PeerSettings peer;
    peer.vm = entry.key;
    if (const auto problem = checkName(entry.key)) {
        addBadValue(*problem);
    }
    const std::vector<std::string> words = absl::StrSplit(entry.value, ' ', absl::SkipWhitespace());
    if (const auto address = words.empty() ? std::nullopt : SocketAddress::parse(words.front())) {
        peer.address = *address;
    } else {
        addBadValue(fmt::format("'{}' does not begin with IP:port", entry.value));
    }
    for (std::size_t index = 1; index < words.size(); index++) {
        absl::string_view word = words[index];
        if (absl::ConsumePrefix(&word, "zone=")) {
            peer.zone = std::string(word);
        } else if (word == "disk=yes" || word == "disk=no") {
            peer.hasDisk = word == "disk=yes";
        } else {
            addBadValue(fmt::format("'{}' is neither zone=NAME nor disk=yes or disk=no", words[index]));
        }
    }
    if (const auto problem = checkName(peer.zone)) {
        addBadValue(fmt::format("zone '{}' {}", peer.zone, *problem));
    }
    this->settings.peers[peer.vm] = peer;
}

void SettingsParser::readZones()
{
    for (const IniSection &section : this->document.sections()) {
        absl::string_view name = section.name;
        if (!absl::ConsumePrefix(&name, ZonePrefix)) {
            continue;
        }
        ZoneSettings zone;
        zone.zone = std::string(name);
        if (const auto problem = checkName(zone.zone)) {
            this->problems.add(ResultCode::SettingsBadValue, section.place(""), fmt::format("'{}' {}", zone.zone, *problem));
        }
        for (const IniEntry &entry : section.entries) {
            if (entry.key == "members") {
                zone.members = splitList(entry.value);
            } else if (entry.key == "witness") {
                zone.witness = entry.value;
            } else {
                this->problems.add(ResultCode::SettingsUnknownKey, section.place(entry.key), "is not a known key of a zone; known keys: members, witness");
            }
        }
        if (zone.members.empty()) {
            this->problems.add(ResultCode::SettingsMissingKey, section.place("members"), "is required: the zone's VMs, separated by commas");
        }
        this->settings.zones[zone.zone] = zone;
    }
}

void SettingsParser::reportUnknownKeys()
{
    for (const IniSection &section : this->document.sections()) {
        if (section.name == "peers" || absl::string_view(section.name).substr(0, 5) == ZonePrefix) {
            continue;
        }
        const auto &table = settingsTable();
        if (std::none_of(table.begin(), table.end(), [&](const SettingKey &row) { return row.section == section.name; })) {
            this->problems.add(ResultCode::SettingsUnknownSection, section.place(""), "is not a known section; docs/SETTINGS.md lists them");
            continue;
        }
        for (const IniEntry &entry : section.entries) {
            if (std::none_of(table.begin(), table.end(), [&](const SettingKey &row) { return row.section == section.name && row.key == entry.key; })) {
                this->problems.add(ResultCode::SettingsUnknownKey, section.place(entry.key), "is not a known key; docs/SETTINGS.md lists them");
            }
        }
    }
}

void SettingsParser::addInconsistency(const std::string &section, const std::string &key, const std::string &message)
{
    const IniSection *found = this->document.find(section);
    this->problems.add(ResultCode::SettingsInconsistent, found == nullptr ? IniPlace{section, key, 0} : found->place(key), message);
}

void SettingsParser::checkPeers()
{
    const DaemonSettings &daemon = this->settings.daemon;
    const auto own = this->settings.peers.find(daemon.vm);
    if (own == this->settings.peers.end()) {
        this->addInconsistency("daemon", "vm", fmt::format("'{}' is not in [peers]", daemon.vm));
        return;
    }
    if (own->second.zone != daemon.zone) {
        this->addInconsistency("daemon", "zone", fmt::format("is '{}', but [peers] says '{}'", daemon.zone, own->second.zone));
    }
    if (own->second.hasDisk == daemon.dataFolder.empty()) {
        this->addInconsistency(
            "daemon", "data_folder", own->second.hasDisk ? "is missing, but [peers] says disk=yes" : "is set, but [peers] does not say disk=yes");
    }
    if (this->settings.entry.listen == this->settings.link.listen && this->settings.entry.listen.port != 0) {
        this->addInconsistency("link", "listen", "is the same address as listen of [entry]");
    }
}

void SettingsParser::checkZones()
{
    for (const auto &[name, zone] : this->settings.zones) {
        const std::string section = ZonePrefix + name;
        for (const std::string &member : zone.members) {
            const auto peer = this->settings.peers.find(member);
            if (peer == this->settings.peers.end() || peer->second.zone != name) {
                this->addInconsistency(section, "members", fmt::format("'{}' is not a VM of this zone in [peers]", member));
            }
        }
        if (hasDuplicates(zone.members)) {
            this->addInconsistency(section, "members", "names a VM twice");
        }
        if (zone.witness.empty()) {
            continue;
        }
        const auto witness = this->settings.peers.find(zone.witness);
        if (witness == this->settings.peers.end() || witness->second.zone == name || !witness->second.hasDisk) {
            this->addInconsistency(section, "witness", fmt::format("'{}' is not a VM with a disk in another zone", zone.witness));
        }
    }
    for (const auto &[vm, peer] : this->settings.peers) {
        const auto zone = this->settings.zones.find(peer.zone);
        if (zone == this->settings.zones.end() || !contains(zone->second.members, vm)) {
            this->addInconsistency("peers", vm, fmt::format("is not a member of [zone {}]", peer.zone));
        }
    }
}

void SettingsParser::checkConfigGroup()
{
    const std::vector<std::string> &members = this->settings.configGroup.members;
    if (members.size() % 2 == 0 || members.size() > MaxConfigGroupMembers) {
        this->addInconsistency("config_group", "members", fmt::format("names {} VMs; 1, 3, 5 or 7 are needed", members.size()));
    }
    if (hasDuplicates(members)) {
        this->addInconsistency("config_group", "members", "names a VM twice");
    }
    for (const std::string &member : members) {
        const auto peer = this->settings.peers.find(member);
        if (peer == this->settings.peers.end() || !peer->second.hasDisk) {
            this->addInconsistency("config_group", "members", fmt::format("'{}' is not a VM with a disk in [peers]", member));
        }
    }
}

void SettingsParser::checkTiming()
{
    const TimingSettings &timing = this->settings.timing;
    if (timing.electionMin >= timing.electionMax) {
        this->addInconsistency("timing", "election_min_ms", "must be less than election_max_ms");
    }
    if (2 * timing.groupHeartbeat > timing.electionMin) {
        this->addInconsistency("timing", "group_heartbeat_ms", "must be at most half of election_min_ms");
    }
    if (2 * this->settings.link.heartbeat > this->settings.link.deadAfter) {
        this->addInconsistency("link", "heartbeat_ms", "must be at most half of dead_after_ms");
    }
    if (timing.upstreamSilentAfter > timing.taskLease) {
        this->addInconsistency("timing", "upstream_silent_after_ms", "must be at most task_lease_ms");
    }
}

} // namespace cranberryreel::settings
