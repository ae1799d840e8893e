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

/// Reads the keys of one section and notes what is wrong with them; keys that were never asked for are unknown ones. Lives while its section is read.
class SectionReader
{
public:
    SectionReader(const settings::IniSection &section, settings::ProblemList &problems);

    /// What follows the section's kind: "rey-w01" in [vm rey-w01].
    std::string name() const;

    bool has(const std::string &key);
    std::string text(const std::string &key);
    std::string requiredText(const std::string &key);
    std::vector<std::string> list(const std::string &key);
    bool yes(const std::string &key, bool fallback);
    std::int64_t number(const std::string &key, std::int64_t lowest, std::int64_t highest, std::int64_t fallback);
    double decimal(const std::string &key, double lowest, double highest, double fallback);

    /// A size that may be given in either of two units; `factor` of the small ones make a large one. Empty when neither key stands there.
    std::optional<std::int64_t> sized(const std::string &smallKey, const std::string &largeKey, std::int64_t factor, std::int64_t highest);

    void problem(const std::string &key, const std::string &sentence);

    /// Complains of every key that was not asked for.
    void refuseOthers();

private:
    const settings::IniEntry *find(const std::string &key);

    const settings::IniSection &section;
    settings::ProblemList &problems;
    std::set<std::string> known;
};

/// The kind of a section: "vm" in [vm rey-w01].
std::string sectionKind(const settings::IniSection &section);

} // namespace cranberryreel::config
