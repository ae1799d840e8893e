#include "cell/CellSettings.h"

#include "settings/IniDocument.h"
#include "settings/ProblemList.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>

namespace cranberryreel::cell
{

namespace
{

using base::ResultCode;
using settings::IniEntry;
using settings::ProblemList;
using settings::SocketAddress;

/// Parses a value into the settings; false if the value is invalid.
using ValueParser = std::function<bool(CellSettings &, const std::string &)>;

struct SettingRow {
    const char *section;
    const char *key;
    bool required; ///< Must be present and not empty.
    const char *expected; ///< Describes a valid value; for error messages.
    ValueParser parse;
};

ValueParser textValue(std::string CellSettings::*field)
{
    return [field](CellSettings &target, const std::string &value) {
        target.*field = value;
        return true;
    };
}

ValueParser addressValue(SocketAddress CellSettings::*field)
{
    return [field](CellSettings &target, const std::string &value) {
        const auto parsed = SocketAddress::parse(value);
        target.*field = parsed.value_or(SocketAddress());
        return parsed.has_value() && parsed->port != 0;
    };
}

ValueParser millisecondsValue(std::chrono::milliseconds CellOptions::*field, std::int64_t min, std::int64_t max)
{
    return [=](CellSettings &target, const std::string &value) {
        std::int64_t number = 0;
        const bool valid = absl::SimpleAtoi(value, &number) && number >= min && number <= max;
        target.cell.*field = std::chrono::milliseconds(number);
        return valid;
    };
}

bool parseSeeds(CellSettings &target, const std::string &value)
{
    for (const std::string &item : settings::splitList(value)) {
        const auto parsed = SocketAddress::parse(item);
        if (!parsed) {
            return false;
        }
        target.seeds.push_back(*parsed);
    }
    return !target.seeds.empty();
}

bool parseToleratedVms(CellSettings &target, const std::string &value)
{
    constexpr std::size_t Max = 3;
    return absl::SimpleAtoi(value, &target.toleratedVms) && target.toleratedVms <= Max;
}

bool parseCatchUp(CellSettings &target, const std::string &value)
{
    constexpr double MinSeconds = 1;
    constexpr double MaxSeconds = 600;
    double seconds = 0;
    const bool valid = absl::SimpleAtod(value, &seconds) && seconds >= MinSeconds && seconds <= MaxSeconds;
    target.catchUp = valid ? std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(seconds)) : target.catchUp;
    return valid;
}

bool parseFirstStart(CellSettings &target, const std::string &value)
{
    target.firstStart = value == "true";
    return value == "true" || value == "false";
}

bool parseMaxConnections(CellSettings &target, const std::string &value)
{
    constexpr std::size_t Min = 16;
    constexpr std::size_t Max = 65536;
    return absl::SimpleAtoi(value, &target.maxConnections) && target.maxConnections >= Min && target.maxConnections <= Max;
}

bool parseFarRackFactor(CellSettings &target, const std::string &value)
{
    return absl::SimpleAtod(value, &target.cell.farRackFactor) && target.cell.farRackFactor >= 1.0;
}

bool parseUpstreamSpeeds(CellSettings &target, const std::string &value)
{
    target.cell.upstreamSpeeds = value == "true";
    return value == "true" || value == "false";
}

bool parseTeamRateWindow(CellSettings &target, const std::string &value)
{
    constexpr std::int64_t MaxSeconds = 3600;
    std::int64_t seconds = 0;
    const bool valid = absl::SimpleAtoi(value, &seconds) && seconds >= 1 && seconds <= MaxSeconds;
    target.cell.teamRateWindow = valid ? std::chrono::seconds(seconds) : target.cell.teamRateWindow;
    return valid;
}

bool parseLogLevel(CellSettings &target, const std::string &value)
{
    target.logLevel = value;
    return value == "debug" || value == "info" || value == "warn" || value == "error";
}

bool parseOwnVm(CellSettings &target, const std::string &value)
{
    target.cell.ownVm = value;
    return SocketAddress::parse(value + ":1").has_value();
}

bool parseZone(CellSettings &target, const std::string &value)
{
    target.cell.zone = value;
    return true;
}

constexpr std::int64_t MaxTimeMs = 600000;

const std::vector<SettingRow> &settingRows()
{
    static const std::vector<SettingRow> table = {
        {"vm", "name", true, "a name", textValue(&CellSettings::name)},
        {"vm", "address", true, "an IP address", &parseOwnVm},
        {"vm", "zone", true, "a name", &parseZone},
        {"vm", "log_level", false, "debug, info, warn or error", &parseLogLevel},
        {"listen", "callers", false, "IP:port", addressValue(&CellSettings::callers)},
        {"listen", "readiness", false, "IP:port", addressValue(&CellSettings::readiness)},
        {"listen", "control", false, "IP:port", addressValue(&CellSettings::control)},
        {"listen", "metrics", false, "IP:port", addressValue(&CellSettings::metrics)},
        {"listen", "max_connections", false, "a whole number from 16 to 65536", &parseMaxConnections},
        {"link", "listen", true, "IP:port", addressValue(&CellSettings::link)},
        {"link", "key", true, "a text", textValue(&CellSettings::linkKey)},
        {"cell", "seeds", true, "IP:port, separated by commas", &parseSeeds},
        {"cell", "tolerate", false, "a whole number from 0 to 3", &parseToleratedVms},
        {"cell", "catch_up_s", false, "seconds from 1 to 600", &parseCatchUp},
        {"cell", "first_start", false, "true or false", &parseFirstStart},
        {"cell", "upstream_speeds", false, "true or false", &parseUpstreamSpeeds},
        {"cell", "data_folder", false, "a path", textValue(&CellSettings::dataFolder)},
        {"cell", "team_rate_window_s", false, "whole seconds from 1 to 3600", &parseTeamRateWindow},
        {"advice", "service", false, "IP:port", addressValue(&CellSettings::adviceService)},
        {"times", "lease_max_ms", true, "milliseconds from 500", millisecondsValue(&CellOptions::leaseMax, 500, MaxTimeMs)},
        {"times", "stop_limit_ms", true, "milliseconds", millisecondsValue(&CellOptions::stopLimit, 1, MaxTimeMs)},
        {"times", "gang_wait_ms", true, "milliseconds", millisecondsValue(&CellOptions::gangWait, 1, MaxTimeMs)},
        {"times", "job_retention_ms", false, "milliseconds", millisecondsValue(&CellOptions::jobRetention, 1000, 100 * MaxTimeMs)},
        {"times", "restore_ms", false, "milliseconds", millisecondsValue(&CellOptions::restoreTime, 0, MaxTimeMs)},
        {"times", "far_rack_factor", false, "a number from 1", &parseFarRackFactor},
    };
    return table;
}

const SettingRow *findRow(const std::string &section, const std::string &key)
{
    const auto &table = settingRows();
    const auto found = std::find_if(table.begin(), table.end(), [&](const SettingRow &row) { return section == row.section && key == row.key; });
    return found == table.end() ? nullptr : &*found;
}

bool isSection(const std::string &name)
{
    return std::any_of(settingRows().begin(), settingRows().end(), [&name](const SettingRow &row) { return name == row.section; });
}

void readSection(const settings::IniSection &section, CellSettings &target, ProblemList &problems)
{
    if (!isSection(section.name)) {
        problems.add(ResultCode::SettingsUnknownSection, {section.name, "", section.line}, "unknown section");
        return;
    }
    for (const IniEntry &entry : section.entries) {
        const SettingRow *row = findRow(section.name, entry.key);
        if (row == nullptr) {
            problems.add(ResultCode::SettingsUnknownKey, section.place(entry.key), "unknown key");
        } else if (!entry.value.empty() && !row->parse(target, entry.value)) {
            problems.add(ResultCode::SettingsBadValue, section.place(entry.key), fmt::format("'{}' is not {}", entry.value, row->expected));
        }
    }
}

void checkRequired(const settings::IniDocument &document, ProblemList &problems)
{
    for (const SettingRow &row : settingRows()) {
        const settings::IniSection *section = document.find(row.section);
        const IniEntry *entry = section == nullptr ? nullptr : section->find(row.key);
        if (row.required && (entry == nullptr || entry->value.empty())) {
            problems.add(ResultCode::SettingsMissingKey, {row.section, row.key, 0}, fmt::format("is missing; expected {}", row.expected));
        }
    }
}

void checkConsistency(const CellSettings &read, ProblemList &problems)
{
    if (read.callers.isSet() != read.readiness.isSet()) {
        problems.add(ResultCode::SettingsInconsistent, {"listen", "readiness", 0}, "must be set if and only if 'callers' is set");
    }
    if (read.control.isSet() != !read.dataFolder.empty()) {
        problems.add(ResultCode::SettingsInconsistent, {"listen", "control", 0}, "must be set if and only if [cell] data_folder is set");
    }
}

} // namespace

CellSettings parseCellSettings(const std::string &text, const std::string &name)
{
    ProblemList problems(name);
    const settings::IniDocument document = settings::IniDocument::parse(text, problems);
    CellSettings read;
    for (const settings::IniSection &section : document.sections()) {
        readSection(section, read, problems);
    }
    checkRequired(document, problems);
    checkConsistency(read, problems);
    problems.throwIfAny();
    read.cell.advertisedAddress = read.control.isSet() ? read.control.toString() : std::string();
    return read;
}

CellSettings loadCellSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw base::Error(ResultCode::SettingsFileMissing, fmt::format("{}: the settings file cannot be read", path));
    }
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return parseCellSettings(text, path);
}

} // namespace cranberryreel::cell
