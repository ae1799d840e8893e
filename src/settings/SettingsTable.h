#pragma once

#include "settings/Settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberryreel::settings
{

/// Pointer to the member of Settings that one key sets; the member's type determines how the value is parsed.
using SettingField =
    std::variant<std::string *, std::uint64_t *, std::chrono::milliseconds *, std::chrono::seconds *, SocketAddress *, std::vector<std::string> *>;

/// Validates a text value; returns the problem, or nullopt if the value is valid.
using TextCheck = std::optional<std::string> (*)(const std::string &value);

/// One key of the settings file. The parser and docs/SETTINGS.md are based on the table of all keys; default values are defined in Settings only.
struct SettingKey {
    const char *section;
    const char *key;
    SettingField (*field)(Settings &settings);
    bool required;
    std::uint64_t lowest; ///< For numbers and durations, in the unit named by the key.
    std::uint64_t highest;
    TextCheck check; ///< For texts; never null.
    bool isPath;
    const char *meaning;
};

/// All keys of the sections with fixed names, in the order of docs/SETTINGS.md.
const std::vector<SettingKey> &settingsTable();

/// Returns the Markdown table of docs/SETTINGS.md.
std::string settingsMarkdown();

/// Returns a problem unless the value is a valid name: 1 to 40 lower-case letters, digits and hyphens.
std::optional<std::string> checkName(const std::string &value);

} // namespace cranberryreel::settings
