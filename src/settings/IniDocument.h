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

    /// Null when the section lacks the key.
    const IniEntry *find(const std::string &key) const;

    IniPlace place(const std::string &key) const;
};

/// One INI text as written: sections and keys in their order, without meaning. Read by inih; comments begin with ; or #, an indented line continues the
/// value before it.
class IniDocument
{
public:
    /// Lines that cannot be read, keys outside sections, and sections or keys that stand twice are added to `problems` as SettingsSyntax.
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
