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
            reader.addProblem("", "is not a known section; known sections: [scheduling], [partner NAME], [group NAME]");
            continue;
        }
        (this->*found->second)(reader);
        reader.reportUnknownKeys();
    }
    this->checkParents();
    this->problems.throwIfAny();
}

void RulesReader::readScheduling(SectionReader &section)
{
    if (const std::string profile = section.text("profile"); profile == "waiting_time" || profile == "packing") {
        this->configuration.profile = profile;
    } else if (section.has("profile")) {
        section.addProblem("profile", fmt::format("'{}' is neither waiting_time nor packing", profile));
    }
    const std::int64_t fallback = this->configuration.giveBackWithin.count();
    this->configuration.giveBackWithin =
        std::chrono::milliseconds(section.number("give_back_within_ms", MinGiveBackMilliseconds, MaxGiveBackMilliseconds, fallback));
}

void RulesReader::readPartner(SectionReader &section)
{
    if (this->configuration.partners.count(section.name()) == 0) {
        section.addProblem("", "is not a partner in the register; load a register with this partner first");
    }
    PartnerRules rules = this->readSharedKeys(section);
    rules.maxQueued = static_cast<std::uint32_t>(section.number("max_queued", 1, MaxQueuedTasks, rules.maxQueued));
    rules.services = section.list("services");
    const std::vector<std::string> &services = this->configuration.services;
    for (const std::string &service : rules.services) {
        if (std::find(services.begin(), services.end(), service) == services.end()) {
            section.addProblem("services", fmt::format("'{}' is not a service in the register", service));
        }
    }
    this->configuration.rules[rules.partner] = rules;
}

void RulesReader::readGroup(SectionReader &section)
{
    if (const auto problem = settings::checkName(section.name())) {
        section.addProblem("", fmt::format("'{}' {}", section.name(), *problem));
    }
    if (this->configuration.partners.count(section.name()) > 0) {
        section.addProblem("", "has the same name as a partner");
    }
    this->groups.insert(section.name());
    this->configuration.rules[section.name()] = this->readSharedKeys(section);
}

PartnerRules RulesReader::readSharedKeys(SectionReader &section)
{
    PartnerRules rules;
    rules.partner = section.name();
    rules.weight = section.decimal("weight", MinWeight, MaxWeight, rules.weight);
    rules.parent = section.text("parent");
    rules.quota.cpuMillis = section.sizeInEitherUnit("quota_cpu_millis", "quota_cpu_cores", MillisPerCore, MaxQuotaCpuMillis).value_or(0);
    rules.quota.memoryMiB = section.sizeInEitherUnit("quota_memory_mib", "quota_memory_gib", MiBPerGiB, MaxQuotaMemoryMiB).value_or(0);
    rules.quota.accelerators = section.number("quota_accelerators", 0, MaxQuotaAccelerators, 0);
    rules.mayBorrow = section.boolean("may_borrow", rules.mayBorrow);
    return rules;
}

void RulesReader::checkParents()
{
    for (const auto &[name, rules] : this->configuration.rules) {
        const std::string section = (this->groups.count(name) > 0 ? "group " : "partner ") + name;
        std::set<std::string> visited = {name};
        for (std::string parent = rules.parent; !parent.empty(); parent = this->configuration.rules[parent].parent) {
            if (this->groups.count(parent) == 0) {
                this->problems.add(base::ResultCode::RulesInvalid, {section, "parent", 0}, fmt::format("'{}' is not a [group] in the rules", parent));
                break;
            }
            if (!visited.insert(parent).second) {
                this->problems.add(base::ResultCode::RulesInvalid, {section, "parent", 0}, fmt::format("is circular: the parents lead back to '{}'", parent));
                break;
            }
        }
    }
}

} // namespace cranberryreel::config
