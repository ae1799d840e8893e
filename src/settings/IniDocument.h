#pragma once

#include "settings/ProblemList.h"

#include <string>
#include <vector>

namespace cranberryreel::settings
{

struct IniEntry {
    std::string key;
    std::string value; ///< Trimmed; continuation lines are joined by a space.
    int line = 0;
};

struct IniSection {
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;

    /// Returns null if the section lacks the key.
    const IniEntry *find(const std::string &key) const;

    IniPlace place(const std::string &key) const;
};

/// The sections and keys of one INI text in their order, uninterpreted. Parsed by inih; comments begin with ; or #, and an indented line continues the
/// previous value. Immutable after parse().
class IniDocument
{
public:
    /// Invalid lines, keys outside sections, and duplicate sections or keys are added to `problems` as SettingsSyntax.
    static IniDocument parse(const std::string &text, ProblemList &problems);

    const std::vector<IniSection> &sections() const;
    const IniSection *find(const std::string &section) const;

private:
    friend class IniReader;

    std::vector<IniSection> parsed;
};

/// The trimmed, non-empty parts of a comma-separated value.
std::vector<std::string> splitList(const std::string &value);

} // namespace cranberryreel::settings
