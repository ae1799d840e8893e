#include "config/SectionReader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <cmath>

namespace cranberryreel::config
{

namespace
{

// Placeholder: the ProblemList of a SectionReader replaces each problem's code by its own.
constexpr base::ResultCode PlaceholderCode = base::ResultCode::SettingsBadValue;

} // namespace

SectionReader::SectionReader(const settings::IniSection &iniSection, settings::ProblemList &problemList)
    : section(iniSection)
    , problems(problemList)
{
}

std::string SectionReader::name() const
{
    const std::size_t space = this->section.name.find(' ');
    return space == std::string::npos ? std::string() : this->section.name.substr(space + 1);
}

bool SectionReader::has(const std::string &key)
{
    return this->findEntry(key) != nullptr;
}

std::string SectionReader::text(const std::string &key)
{
    const settings::IniEntry *entry = this->findEntry(key);
    return entry == nullptr ? std::string() : entry->value;
}

std::string SectionReader::requiredText(const std::string &key)
{
    std::string value = this->text(key);
    if (value.empty()) {
        this->addProblem(key, "is required");
    }
    return value;
}

std::vector<std::string> SectionReader::list(const std::string &key)
{
    return settings::splitList(this->text(key));
}

bool SectionReader::boolean(const std::string &key, bool fallback)
{
    const settings::IniEntry *entry = this->findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value != "yes" && entry->value != "no") {
        this->addProblem(key, fmt::format("'{}' is neither yes nor no", entry->value));
    }
    return entry->value == "yes";
}

std::int64_t SectionReader::number(const std::string &key, std::int64_t lowest, std::int64_t highest, std::int64_t fallback)
{
    const settings::IniEntry *entry = this->findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(entry->value, &value)) {
        this->addProblem(key, fmt::format("'{}' is not a whole number", entry->value));
        return fallback;
    }
    if (value < lowest || value > highest) {
        this->addProblem(key, fmt::format("{} is not within {} to {}", value, lowest, highest));
        return fallback;
    }
    return value;
}

double SectionReader::decimal(const std::string &key, double lowest, double highest, double fallback)
{
    const settings::IniEntry *entry = this->findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    double value = 0;
    if (!absl::SimpleAtod(entry->value, &value) || !std::isfinite(value)) {
        this->addProblem(key, fmt::format("'{}' is not a number", entry->value));
        return fallback;
    }
    if (value < lowest || value > highest) {
        this->addProblem(key, fmt::format("{} is not within {} to {}", value, lowest, highest));
        return fallback;
    }
    return value;
}

std::optional<std::int64_t> SectionReader::sizeInEitherUnit(const std::string &smallKey, const std::string &largeKey, std::int64_t factor, std::int64_t highest)
{
    const bool inSmall = this->has(smallKey);
    const bool inLarge = this->has(largeKey);
    if (inSmall && inLarge) {
        this->addProblem(largeKey, fmt::format("is given together with {}; give only one of them", smallKey));
    }
    if (inSmall) {
        return this->number(smallKey, 1, highest, 1);
    }
    if (inLarge) {
        return this->number(largeKey, 1, highest / factor, 1) * factor;
    }
    return std::nullopt;
}

void SectionReader::addProblem(const std::string &key, const std::string &message)
{
    this->problems.add(PlaceholderCode, this->section.place(key), message);
}

void SectionReader::reportUnknownKeys()
{
    for (const settings::IniEntry &entry : this->section.entries) {
        if (this->knownKeys.count(entry.key) == 0) {
            this->addProblem(
                entry.key,
                fmt::format("is not a known key; known keys of this section: {}", this->knownKeys.empty() ? "none" : absl::StrJoin(this->knownKeys, ", ")));
        }
    }
}

const settings::IniEntry *SectionReader::findEntry(const std::string &key)
{
    this->knownKeys.insert(key);
    return this->section.find(key);
}

std::string sectionKind(const settings::IniSection &section)
{
    return section.name.substr(0, section.name.find(' '));
}

} // namespace cranberryreel::config
