#include "config/RegisterReader.h"

#include "settings/IniDocument.h"
#include "settings/SettingsTable.h"

#include <fmt/format.h>

#include <map>

namespace cranberryreel::config
{

namespace
{

constexpr std::int64_t MillisPerCore = 1000;
constexpr std::int64_t MiBPerGiB = 1024;
constexpr std::int64_t MaxCpuMillis = 4096 * MillisPerCore;
constexpr std::int64_t MaxMemoryMiB = 64 * MiBPerGiB * MiBPerGiB;
constexpr std::int64_t MaxAccelerators = 1024;
constexpr std::size_t Sha256HexDigits = 64;

bool isSha256Hex(const std::string &text)
{
    return text.size() == Sha256HexDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void checkSectionName(SectionReader &section)
{
    if (const auto problem = settings::checkName(section.name())) {
        section.addProblem("", fmt::format("'{}' {}", section.name(), *problem));
    }
}

void checkNameValue(SectionReader &section, const std::string &key, const std::string &value)
{
    if (const auto problem = settings::checkName(value); problem && !value.empty()) {
        section.addProblem(key, fmt::format("'{}' {}", value, *problem));
    }
}

} // namespace

RegisterReader::RegisterReader(Configuration &target)
    : configuration(target)
    , problems("register", base::ResultCode::RegisterInvalid)
{
}

void RegisterReader::run()
{
    static const std::map<std::string, ReadSection> readers = {
        {"vm", &RegisterReader::readVm},
        {"partner", &RegisterReader::readPartner},
        {"service", &RegisterReader::readService},
    };
    const auto document = settings::IniDocument::parse(this->configuration.registerText, this->problems);
    for (const settings::IniSection &section : document.sections()) {
        SectionReader reader(section, this->problems);
        const auto found = readers.find(sectionKind(section));
        if (found == readers.end()) {
            reader.addProblem("", "is not a known section; known sections: [vm NAME], [partner NAME], [service NAME]");
            continue;
        }
        checkSectionName(reader);
        (this->*found->second)(reader);
        reader.reportUnknownKeys();
    }
    this->checkKeysUnique();
    this->problems.throwIfAny();
}

void RegisterReader::readVm(SectionReader &section)
{
    RegisterVm vm;
    vm.vm = section.name();
    vm.zone = section.requiredText("zone");
    vm.rack = section.requiredText("rack");
    checkNameValue(section, "zone", vm.zone);
    checkNameValue(section, "rack", vm.rack);
    const auto cpu = section.sizeInEitherUnit("cpu_millis", "cpu_cores", MillisPerCore, MaxCpuMillis);
    const auto memory = section.sizeInEitherUnit("memory_mib", "memory_gib", MiBPerGiB, MaxMemoryMiB);
    if (!cpu) {
        section.addProblem("cpu_cores", "is required, unless cpu_millis is given");
    }
    if (!memory) {
        section.addProblem("memory_gib", "is required, unless memory_mib is given");
    }
    vm.capacity = {cpu.value_or(0), memory.value_or(0), section.number("accelerators", 0, MaxAccelerators, 0)};
    this->configuration.vms[vm.vm] = vm;
}

void RegisterReader::readPartner(SectionReader &section)
{
    RegisterPartner partner;
    partner.partner = section.name();
    partner.keyHash = section.requiredText("key_sha256");
    if (!partner.keyHash.empty() && !isSha256Hex(partner.keyHash)) {
        section.addProblem("key_sha256", "is not a hash of 64 lower-case hex digits; `cranberryreel key hash` prints the hash of a key");
    }
    partner.isOperator = section.boolean("operator", false);
    this->configuration.partners[partner.partner] = partner;
}

void RegisterReader::readService(SectionReader &section)
{
    this->configuration.services.push_back(section.name());
}

void RegisterReader::checkKeysUnique()
{
    std::map<std::string, std::string> owners;
    for (const auto &[name, partner] : this->configuration.partners) {
        const auto [owner, isNew] = owners.emplace(partner.keyHash, name);
        if (!isNew && !partner.keyHash.empty()) {
            this->problems.add(
                base::ResultCode::RegisterInvalid, {"partner " + name, "key_sha256", 0}, fmt::format("is also the key of partner '{}'", owner->second));
        }
    }
}

} // namespace cranberryreel::config
