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

/// Takes one value; false when it is none of its kind.
using Taker = std::function<bool(CellSettings &, const std::string &)>;

struct KeyRow {
    const char *section;
    const char *key;
    bool required; ///< It must be there and not empty.
    const char *kind; ///< For errors.
    Taker take;
};

Taker text(std::string CellSettings::*field)
{
    return [field](CellSettings &into, const std::string &value) {
        into.*field = value;
        return true;
    };
}

Taker address(SocketAddress CellSettings::*field)
{
    return [field](CellSettings &into, const std::string &value) {
        const auto parsed = SocketAddress::parse(value);
        into.*field = parsed.value_or(SocketAddress());
        return parsed.has_value() && parsed->port != 0;
    };
}

Taker milliseconds(std::chrono::milliseconds CellOptions::*field, std::int64_t least, std::int64_t most)
{
    return [=](CellSettings &into, const std::string &value) {
        std::int64_t number = 0;
        const bool good = absl::SimpleAtoi(value, &number) && number >= least && number <= most;
        into.cell.*field = std::chrono::milliseconds(number);
        return good;
    };
}

bool takeSeeds(CellSettings &into, const std::string &value)
{
    for (const std::string &each : settings::splitList(value)) {
        const auto parsed = SocketAddress::parse(each);
        if (!parsed) {
            return false;
        }
        into.seeds.push_back(*parsed);
    }
    return !into.seeds.empty();
}

bool takeTolerated(CellSettings &into, const std::string &value)
{
    constexpr std::size_t Most = 3;
    return absl::SimpleAtoi(value, &into.toleratedVms) && into.toleratedVms <= Most;
}

bool takeFirstStart(CellSettings &into, const std::string &value)
{
    into.firstStart = value == "true";
    return value == "true" || value == "false";
}

bool takeConnections(CellSettings &into, const std::string &value)
{
    constexpr std::size_t Least = 16;
    constexpr std::size_t Most = 65536;
    return absl::SimpleAtoi(value, &into.maxConnections) && into.maxConnections >= Least && into.maxConnections <= Most;
}

bool takeFactor(CellSettings &into, const std::string &value)
{
    return absl::SimpleAtod(value, &into.cell.farRackFactor) && into.cell.farRackFactor >= 1.0;
}

bool takeLevel(CellSettings &into, const std::string &value)
{
    into.logLevel = value;
    return value == "debug" || value == "info" || value == "warn" || value == "error";
}

bool takeVm(CellSettings &into, const std::string &value)
{
    into.cell.ownVm = value;
    return SocketAddress::parse(value + ":1").has_value();
}

bool takeZone(CellSettings &into, const std::string &value)
{
    into.cell.zone = value;
    return true;
}

constexpr std::int64_t LongestMs = 600000;

const std::vector<KeyRow> &rows()
{
    static const std::vector<KeyRow> table = {
        {"vm", "name", true, "a name", text(&CellSettings::name)},
        {"vm", "address", true, "an IP number", &takeVm},
        {"vm", "zone", true, "a name", &takeZone},
        {"vm", "log_level", false, "debug, info, warn or error", &takeLevel},
        {"listen", "callers", false, "IP:port", address(&CellSettings::callers)},
        {"listen", "readiness", false, "IP:port", address(&CellSettings::readiness)},
        {"listen", "control", false, "IP:port", address(&CellSettings::control)},
        {"listen", "metrics", false, "IP:port", address(&CellSettings::metrics)},
        {"listen", "max_connections", false, "a whole number from 16 to 65536", &takeConnections},
        {"link", "listen", true, "IP:port", address(&CellSettings::link)},
        {"link", "key", true, "a text", text(&CellSettings::linkKey)},
        {"cell", "seeds", true, "IP:port, separated by commas", &takeSeeds},
        {"cell", "tolerate", false, "a whole number from 0 to 3", &takeTolerated},
        {"cell", "first_start", false, "true or false", &takeFirstStart},
        {"cell", "data_folder", false, "a path", text(&CellSettings::dataFolder)},
        {"advice", "service", false, "IP:port", address(&CellSettings::adviceService)},
        {"times", "lease_max_ms", true, "milliseconds from 500", milliseconds(&CellOptions::leaseMax, 500, LongestMs)},
        {"times", "stop_limit_ms", true, "milliseconds", milliseconds(&CellOptions::stopLimit, 1, LongestMs)},
        {"times", "gang_wait_ms", true, "milliseconds", milliseconds(&CellOptions::gangWait, 1, LongestMs)},
        {"times", "job_retention_ms", false, "milliseconds", milliseconds(&CellOptions::jobRetention, 1000, 100 * LongestMs)},
        {"times", "restore_ms", false, "milliseconds", milliseconds(&CellOptions::restoreTime, 0, LongestMs)},
        {"times", "far_rack_factor", false, "a number from 1", &takeFactor},
    };
    return table;
}

const KeyRow *rowOf(const std::string &section, const std::string &key)
{
    const auto &table = rows();
    const auto found = std::find_if(table.begin(), table.end(), [&](const KeyRow &row) { return section == row.section && key == row.key; });
    return found == table.end() ? nullptr : &*found;
}

bool isSection(const std::string &name)
{
    return std::any_of(rows().begin(), rows().end(), [&name](const KeyRow &row) { return name == row.section; });
}

void takeSection(const settings::IniSection &section, CellSettings &into, ProblemList &problems)
{
    if (!isSection(section.name)) {
        problems.add(ResultCode::SettingsUnknownSection, {section.name, "", section.line}, "there is no such section");
        return;
    }
    for (const IniEntry &entry : section.entries) {
        const KeyRow *row = rowOf(section.name, entry.key);
        if (row == nullptr) {
            problems.add(ResultCode::SettingsUnknownKey, section.place(entry.key), "there is no such key");
        } else if (!entry.value.empty() && !row->take(into, entry.value)) {
            problems.add(ResultCode::SettingsBadValue, section.place(entry.key), fmt::format("'{}' is not {}", entry.value, row->kind));
        }
    }
}

void checkRequired(const settings::IniDocument &document, ProblemList &problems)
{
    for (const KeyRow &row : rows()) {
        const settings::IniSection *section = document.find(row.section);
        const IniEntry *entry = section == nullptr ? nullptr : section->find(row.key);
        if (row.required && (entry == nullptr || entry->value.empty())) {
            problems.add(ResultCode::SettingsMissingKey, {row.section, row.key, 0}, fmt::format("is missing; it is {}", row.kind));
        }
    }
}

void checkTogether(const CellSettings &read, ProblemList &problems)
{
    if (read.callers.isSet() != read.readiness.isSet()) {
        problems.add(ResultCode::SettingsInconsistent, {"listen", "readiness", 0}, "is set exactly where 'callers' is");
    }
    if (read.control.isSet() != !read.dataFolder.empty()) {
        problems.add(ResultCode::SettingsInconsistent, {"listen", "control", 0}, "is set exactly where [cell] data_folder is");
    }
}

} // namespace

CellSettings parseCellSettings(const std::string &text, const std::string &name)
{
    ProblemList problems(name);
    const settings::IniDocument document = settings::IniDocument::parse(text, problems);
    CellSettings read;
    for (const settings::IniSection &section : document.sections()) {
        takeSection(section, read, problems);
    }
    checkRequired(document, problems);
    checkTogether(read, problems);
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
