#pragma once

#include "settings/IniDocument.h"
#include "settings/ProblemList.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::config
{

/// Reads typed values of one INI section and records every problem. A key that no call asks for is unknown. Used while one section is parsed.
class SectionReader
{
public:
    SectionReader(const settings::IniSection &section, settings::ProblemList &problems);

    /// The name after the section's kind: "rey-w01" in [vm rey-w01].
    std::string name() const;

    bool has(const std::string &key);
    std::string text(const std::string &key);
    std::string requiredText(const std::string &key);
    std::vector<std::string> list(const std::string &key);
    bool boolean(const std::string &key, bool fallback);
    std::int64_t number(const std::string &key, std::int64_t lowest, std::int64_t highest, std::int64_t fallback);
    double decimal(const std::string &key, double lowest, double highest, double fallback);

    /// Reads a size given in either of two units, and returns it in the smaller one; `factor` small units make a large one. Empty when neither key is present.
    std::optional<std::int64_t> sizeInEitherUnit(const std::string &smallKey, const std::string &largeKey, std::int64_t factor, std::int64_t highest);

    void addProblem(const std::string &key, const std::string &message);

    /// Records a problem for each key that no call asked for.
    void reportUnknownKeys();

private:
    const settings::IniEntry *findEntry(const std::string &key);

    const settings::IniSection &section;
    settings::ProblemList &problems;
    std::set<std::string> knownKeys;
};

/// The kind of a section: "vm" in [vm rey-w01].
std::string sectionKind(const settings::IniSection &section);

} // namespace cranberryreel::config
