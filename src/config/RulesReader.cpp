#include "config/RulesReader.h"

#include "settings/IniDocument.h"
#include "settings/SettingsTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace cranberryreel::config
{

namespace
{

constexpr std::int64_t MillisPerCore = 1000;
constexpr std::int64_t MiBPerGiB = 1024;
constexpr std::int64_t MaxQuotaCpuMillis = std::int64_t{10000000} * MillisPerCore;
constexpr std::int64_t MaxQuotaMemoryMiB = std::int64_t{100000000} * MiBPerGiB;
constexpr std::int64_t MaxQuotaAccelerators = 1000000;
constexpr std::int64_t MaxQueuedTasks = 1000000;
constexpr std::int64_t MinGiveBackMilliseconds = 100;
constexpr std::int64_t MaxGiveBackMilliseconds = 3600000;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;

} // namespace

RulesReader::RulesReader(Configuration &target)
    : configuration(target)
    , problems("rules", base::ResultCode::RulesInvalid)
{
}

void RulesReader::run()
{
    static const std::map<std::string, ReadSection> readers = {
        {"scheduling", &RulesReader::readScheduling},
        {"partner", &RulesReader::readPartner},
        {"group", &RulesReader::readGroup},
    };
    const auto document = settings::IniDocument::parse(this->configuration.rulesText, this->problems);
    for (const settings::IniSection &section : document.sections()) {
        SectionReader reader(section, this->problems);
        const auto found = readers.find(sectionKind(section));
        if (found == readers.end() || (found->first == "scheduling") != reader.name().empty()) {
            reader.problem("", "is not a known section; [scheduling], [partner NAME] and [group NAME] are");
            continue;
        }
        (this->*found->second)(reader);
        reader.refuseOthers();
    }
    this->checkParents();
    this->problems.throwIfAny();
}

void RulesReader::readScheduling(SectionReader &section)
{
    if (const std::string profile = section.text("profile"); profile == "waiting_time" || profile == "packing") {
        this->configuration.profile = profile;
    } else if (section.has("profile")) {
        section.problem("profile", fmt::format("'{}' is neither waiting_time nor packing", profile));
    }
    const std::int64_t fallback = this->configuration.giveBackWithin.count();
    this->configuration.giveBackWithin =
        std::chrono::milliseconds(section.number("give_back_within_ms", MinGiveBackMilliseconds, MaxGiveBackMilliseconds, fallback));
}

void RulesReader::readPartner(SectionReader &section)
{
    if (this->configuration.partners.count(section.name()) == 0) {
        section.problem("", "is no partner of the register; load the register that names it first");
    }
    PartnerRules rules = this->readShare(section);
    rules.maxQueued = static_cast<std::uint32_t>(section.number("max_queued", 1, MaxQueuedTasks, rules.maxQueued));
    rules.services = section.list("services");
    const std::vector<std::string> &services = this->configuration.services;
    for (const std::string &service : rules.services) {
        if (std::find(services.begin(), services.end(), service) == services.end()) {
            section.problem("services", fmt::format("'{}' is no service of the register", service));
        }
    }
    this->configuration.rules[rules.partner] = rules;
}

void RulesReader::readGroup(SectionReader &section)
{
    if (const auto complaint = settings::checkName(section.name())) {
        section.problem("", fmt::format("'{}' {}", section.name(), *complaint));
    }
    if (this->configuration.partners.count(section.name()) > 0) {
        section.problem("", "has the name of a partner");
    }
    this->groups.insert(section.name());
    this->configuration.rules[section.name()] = this->readShare(section);
}

PartnerRules RulesReader::readShare(SectionReader &section)
{
    PartnerRules rules;
    rules.partner = section.name();
    rules.weight = section.decimal("weight", MinWeight, MaxWeight, rules.weight);
    rules.parent = section.text("parent");
    rules.quota.cpuMillis = section.sized("quota_cpu_millis", "quota_cpu_cores", MillisPerCore, MaxQuotaCpuMillis).value_or(0);
    rules.quota.memoryMiB = section.sized("quota_memory_mib", "quota_memory_gib", MiBPerGiB, MaxQuotaMemoryMiB).value_or(0);
    rules.quota.accelerators = section.number("quota_accelerators", 0, MaxQuotaAccelerators, 0);
    rules.mayBorrow = section.yes("may_borrow", rules.mayBorrow);
    return rules;
}

void RulesReader::checkParents()
{
    for (const auto &[name, rules] : this->configuration.rules) {
        const std::string section = (this->groups.count(name) > 0 ? "group " : "partner ") + name;
        std::set<std::string> passed = {name};
        for (std::string parent = rules.parent; !parent.empty(); parent = this->configuration.rules[parent].parent) {
            if (this->groups.count(parent) == 0) {
                this->problems.add(base::ResultCode::RulesInvalid, {section, "parent", 0}, fmt::format("'{}' is no [group] of the rules", parent));
                break;
            }
            if (!passed.insert(parent).second) {
                this->problems.add(base::ResultCode::RulesInvalid, {section, "parent", 0}, fmt::format("leads back to '{}' in a circle", parent));
                break;
            }
        }
    }
}

} // namespace cranberryreel::config
