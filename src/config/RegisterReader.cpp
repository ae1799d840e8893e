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

bool isHash(const std::string &text)
{
    return text.size() == Sha256HexDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void checkNameOf(SectionReader &section)
{
    if (const auto complaint = settings::checkName(section.name())) {
        section.problem("", fmt::format("'{}' {}", section.name(), *complaint));
    }
}

void checkNameIn(SectionReader &section, const std::string &key, const std::string &value)
{
    if (const auto complaint = settings::checkName(value); complaint && !value.empty()) {
        section.problem(key, fmt::format("'{}' {}", value, *complaint));
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
            reader.problem("", "is not a known section; [vm NAME], [partner NAME] and [service NAME] are");
            continue;
        }
        checkNameOf(reader);
        (this->*found->second)(reader);
        reader.refuseOthers();
    }
    this->checkKeysDiffer();
    this->problems.throwIfAny();
}

void RegisterReader::readVm(SectionReader &section)
{
    RegisterVm vm;
    vm.vm = section.name();
    vm.zone = section.requiredText("zone");
    vm.rack = section.requiredText("rack");
    checkNameIn(section, "zone", vm.zone);
    checkNameIn(section, "rack", vm.rack);
    const auto cpu = section.sized("cpu_millis", "cpu_cores", MillisPerCore, MaxCpuMillis);
    const auto memory = section.sized("memory_mib", "memory_gib", MiBPerGiB, MaxMemoryMiB);
    if (!cpu) {
        section.problem("cpu_cores", "is required, or cpu_millis in its place");
    }
    if (!memory) {
        section.problem("memory_gib", "is required, or memory_mib in its place");
    }
    vm.capacity = {cpu.value_or(0), memory.value_or(0), section.number("accelerators", 0, MaxAccelerators, 0)};
    this->configuration.vms[vm.vm] = vm;
}

void RegisterReader::readPartner(SectionReader &section)
{
    RegisterPartner partner;
    partner.partner = section.name();
    partner.keyHash = section.requiredText("key_sha256");
    if (!partner.keyHash.empty() && !isHash(partner.keyHash)) {
        section.problem("key_sha256", "is not 64 lower-case hex digits; `cranberryreel key hash` prints them");
    }
    partner.isOperator = section.yes("operator", false);
    this->configuration.partners[partner.partner] = partner;
}

void RegisterReader::readService(SectionReader &section)
{
    this->configuration.services.push_back(section.name());
}

void RegisterReader::checkKeysDiffer()
{
    std::map<std::string, std::string> owners;
    for (const auto &[name, partner] : this->configuration.partners) {
        const auto [owner, isNew] = owners.emplace(partner.keyHash, name);
        if (!isNew && !partner.keyHash.empty()) {
            this->problems.add(
                base::ResultCode::RegisterInvalid, {"partner " + name, "key_sha256", 0}, fmt::format("is the key of partner '{}' too", owner->second));
        }
    }
}

} // namespace cranberryreel::config
