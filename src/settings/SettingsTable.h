#pragma once

#include "settings/Settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberryreel::settings
{

/// The place in Settings that one key fills; its type says how the value is read.
using SettingField =
    std::variant<std::string *, std::uint64_t *, std::chrono::milliseconds *, std::chrono::seconds *, SocketAddress *, std::vector<std::string> *>;

/// Checks a text value; returns what is wrong with it, or nothing.
using TextCheck = std::optional<std::string> (*)(const std::string &value);

/// One key of the settings file. The table of all of them drives the parser and docs/SETTINGS.md; defaults stand in Settings alone.
struct SettingKey {
    const char *section;
    const char *key;
    SettingField (*field)(Settings &settings);
    bool required;
    std::uint64_t lowest; ///< Numbers and durations, in the unit of the key's name.
    std::uint64_t highest;
    TextCheck check; ///< Texts; null for none.
    bool isPath;
    const char *meaning;
};

/// All keys of the sections with fixed names, in the order of the documentation.
const std::vector<SettingKey> &settingsTable();

/// The keys as the Markdown table of docs/SETTINGS.md.
std::string settingsMarkdown();

/// Complains unless the value is a name: lower-case letters, digits and hyphens, at most 40.
std::optional<std::string> checkName(const std::string &value);

} // namespace cranberryreel::settings
