#include "settings/IniDocument.h"

#include "settings/IniReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace cranberryreel::settings
{

const IniEntry *IniSection::find(const std::string &key) const
{
    const auto found = std::find_if(this->entries.begin(), this->entries.end(), [&](const IniEntry &entry) { return entry.key == key; });
    return found == this->entries.end() ? nullptr : &*found;
}

IniPlace IniSection::place(const std::string &key) const
{
    const IniEntry *entry = this->find(key);
    return {this->name, key, entry == nullptr ? this->line : entry->line};
}

IniDocument IniDocument::parse(const std::string &text, ProblemList &problems)
{
    IniDocument document;
    IniReader(text, document, problems).run();
    return document;
}

const std::vector<IniSection> &IniDocument::sections() const
{
    return this->parsed;
}

const IniSection *IniDocument::find(const std::string &section) const
{
    const auto found = std::find_if(this->parsed.begin(), this->parsed.end(), [&](const IniSection &candidate) { return candidate.name == section; });
    return found == this->parsed.end() ? nullptr : &*found;
}

std::vector<std::string> splitList(const std::string &value)
{
    std::vector<std::string> parts;
    for (const absl::string_view part : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
        parts.emplace_back(absl::StripAsciiWhitespace(part));
    }
    return parts;
}

} // namespace cranberryreel::settings
