#include "settings/SettingsTable.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <type_traits>

namespace cranberryreel::settings
{

namespace
{

constexpr std::size_t MaxNameBytes = 40;
constexpr std::size_t Sha256HexDigits = 64;
constexpr std::uint64_t MinuteInMilliseconds = 60000;
constexpr std::uint64_t MiB = std::uint64_t{1} << 20U;

std::optional<std::string> checkSha256Hex(const std::string &value)
{
    if (value.size() == Sha256HexDigits && value.find_first_not_of("0123456789abcdef") == std::string::npos) {
        return std::nullopt;
    }
    return "is not a SHA-256 of 64 lower-case hex digits; `cranberryreel key hash` prints the hash of a key";
}

std::optional<std::string> checkLogLevel(const std::string &value)
{
    const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
    if (std::find(levels.begin(), levels.end(), value) != levels.end()) {
        return std::nullopt;
    }
    return "is not one of debug, info, warn, error";
}

std::optional<std::string> acceptAny(const std::string & /*value*/)
{
    return std::nullopt;
}

// One helper function per kind of row, so that each row states only its own values.
SettingKey text(const char *section, const char *key, bool required, SettingField (*field)(Settings &), TextCheck check, const char *meaning)
{
    return {section, key, field, required, 0, 0, check, false, meaning};
}

SettingKey path(const char *section, const char *key, bool required, SettingField (*field)(Settings &), const char *meaning)
{
    return {section, key, field, required, 0, 0, acceptAny, true, meaning};
}

SettingKey number(const char *section, const char *key, SettingField (*field)(Settings &), std::uint64_t lowest, std::uint64_t highest, const char *meaning)
{
    return {section, key, field, false, lowest, highest, acceptAny, false, meaning};
}

SettingKey address(const char *section, const char *key, SettingField (*field)(Settings &), const char *meaning)
{
    return {section, key, field, true, 0, 0, acceptAny, false, meaning};
}

std::vector<SettingKey> makeTable()
{
    using S = Settings &;
    using F = SettingField;
    return {
        text(
            "daemon", "vm", true, [](S s) -> F { return &s.daemon.vm; }, checkName, "Name of this VM, as [peers] spells it."),
        text(
            "daemon", "zone", true, [](S s) -> F { return &s.daemon.zone; }, checkName, "Availability zone of this VM."),
        text(
            "daemon", "cluster", false, [](S s) -> F { return &s.daemon.cluster; }, checkName, "Name of the deployment; daemons of another one are refused."),
        path(
            "daemon", "data_folder", false, [](S s) -> F { return &s.daemon.dataFolder; }, "Folder for the state of this VM; required where its disk is yes."),
        number(
            "daemon",
            "stop_limit_ms",
            [](S s) -> F { return &s.daemon.stopLimit; },
            0,
            10 * MinuteInMilliseconds,
            "How long a planned stop waits for work in flight."),

        address(
            "entry", "listen", [](S s) -> F { return &s.entry.listen; }, "Address for HTTP."),
        number(
            "entry", "max_connections", [](S s) -> F { return &s.entry.maxConnections; }, 1, 100000, "Open HTTP connections at most."),
        number(
            "entry", "max_body_bytes", [](S s) -> F { return &s.entry.maxBodyBytes; }, 1024, 256 * MiB, "Size of a request body at most."),
        number(
            "entry",
            "request_read_ms",
            [](S s) -> F { return &s.entry.requestRead; },
            100,
            10 * MinuteInMilliseconds,
            "How long a caller may take to send a request whole."),
        path(
            "entry",
            "upstream_key_file",
            false,
            [](S s) -> F { return &s.entry.upstreamKeyFile; },
            "File with the bearer key of upstreams; none: no key needed."),
        text(
            "entry",
            "operator_key_sha256",
            false,
            [](S s) -> F { return &s.entry.operatorKeyHash; },
            checkSha256Hex,
            "Hash of the operators' first key, needed before a register is loaded."),

        address(
            "link", "listen", [](S s) -> F { return &s.link.listen; }, "Address for the other daemons."),
        path(
            "link", "key_file", true, [](S s) -> F { return &s.link.keyFile; }, "File with the key that all daemons share."),
        path(
            "link", "next_key_file", false, [](S s) -> F { return &s.link.nextKeyFile; }, "File with a second accepted key, while keys are rotated."),
        number(
            "link", "heartbeat_ms", [](S s) -> F { return &s.link.heartbeat; }, 50, MinuteInMilliseconds, "Interval of heartbeats on an idle link."),
        number(
            "link",
            "dead_after_ms",
            [](S s) -> F { return &s.link.deadAfter; },
            100,
            5 * MinuteInMilliseconds,
            "A link without progress for so long is dropped."),

        text(
            "config_group",
            "members",
            true,
            [](S s) -> F { return &s.configGroup.members; },
            checkName,
            "VMs with a disk that keep the configuration: 1, 3, 5 or 7."),

        number(
            "timing",
            "task_lease_ms",
            [](S s) -> F { return &s.timing.taskLease; },
            500,
            10 * MinuteInMilliseconds,
            "Upstreams end a task whose lease was not renewed for so long."),
        number(
            "timing",
            "election_min_ms",
            [](S s) -> F { return &s.timing.electionMin; },
            50,
            MinuteInMilliseconds,
            "A group elects anew after so long without its leader, at least."),
        number(
            "timing", "election_max_ms", [](S s) -> F { return &s.timing.electionMax; }, 100, 2 * MinuteInMilliseconds, "The same, at most."),
        number(
            "timing",
            "group_heartbeat_ms",
            [](S s) -> F { return &s.timing.groupHeartbeat; },
            10,
            MinuteInMilliseconds,
            "Interval of a group leader's heartbeats."),
        number(
            "timing",
            "upstream_silent_after_ms",
            [](S s) -> F { return &s.timing.upstreamSilentAfter; },
            500,
            MinuteInMilliseconds,
            "An upstream unheard for so long gets no new work."),
        number(
            "timing",
            "start_expiry_ms",
            [](S s) -> F { return &s.timing.startExpiry; },
            100,
            MinuteInMilliseconds,
            "An upstream drops a start that reaches it later."),
        number(
            "timing",
            "transfer_cost_ms",
            [](S s) -> F { return &s.timing.transferCost; },
            0,
            MinuteInMilliseconds,
            "Work goes to another zone only when that saves more waiting than this."),

        number(
            "limits", "max_link_queue_bytes", [](S s) -> F { return &s.limits.maxLinkQueueBytes; }, 65536, 256 * MiB, "Unsent bytes on one link at most."),
        number(
            "limits",
            "snapshot_after_entries",
            [](S s) -> F { return &s.limits.snapshotAfterEntries; },
            16,
            10000000,
            "A group's log is compacted after so many entries."),
        number(
            "limits", "request_retention_s", [](S s) -> F { return &s.limits.requestRetention; }, 1, 604800, "Finished work can be asked after for so long."),
        number(
            "limits", "key_retention_s", [](S s) -> F { return &s.limits.keyRetention; }, 60, 2592000, "Idempotency keys are remembered for so long."),

        text(
            "log", "level", false, [](S s) -> F { return &s.log.level; }, checkLogLevel, "debug, info, warn or error."),
        path(
            "log", "file", false, [](S s) -> F { return &s.log.file; }, "Log file; none: standard error."),

        path(
            "trace", "file", false, [](S s) -> F { return &s.trace.file; }, "File for spans as OTLP/JSON lines; none: memory only."),
        number(
            "trace", "keep_spans", [](S s) -> F { return &s.trace.keepSpans; }, 0, 1000000, "Spans kept in memory for `cranberryreel trace`."),
    };
}

struct FieldToText {
    std::string operator()(const std::string *value) const
    {
        return *value;
    }

    std::string operator()(const std::uint64_t *value) const
    {
        return std::to_string(*value);
    }

    std::string operator()(const std::chrono::milliseconds *value) const
    {
        return std::to_string(value->count());
    }

    std::string operator()(const std::chrono::seconds *value) const
    {
        return std::to_string(value->count());
    }

    std::string operator()(const SocketAddress *value) const
    {
        return value->toString();
    }

    std::string operator()(const std::vector<std::string> *value) const
    {
        return absl::StrJoin(*value, ", ");
    }
};

struct FieldTypeName {
    std::string operator()(const std::string * /*value*/) const
    {
        return "text";
    }

    std::string operator()(const std::uint64_t * /*value*/) const
    {
        return "whole number";
    }

    std::string operator()(const std::chrono::milliseconds * /*value*/) const
    {
        return "milliseconds";
    }

    std::string operator()(const std::chrono::seconds * /*value*/) const
    {
        return "seconds";
    }

    std::string operator()(const SocketAddress * /*value*/) const
    {
        return "IP:port";
    }

    std::string operator()(const std::vector<std::string> * /*value*/) const
    {
        return "list of VMs";
    }
};

} // namespace

std::optional<std::string> checkName(const std::string &value)
{
    if (!value.empty() && value.size() <= MaxNameBytes && value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos) {
        return std::nullopt;
    }
    return fmt::format("is not a name of lower-case letters, digits and hyphens, at most {} bytes", MaxNameBytes);
}

const std::vector<SettingKey> &settingsTable()
{
    static const std::vector<SettingKey> table = makeTable();
    return table;
}

std::string settingsMarkdown()
{
    std::string markdown = "| section | key | type | range | default | meaning |\n|---|---|---|---|---|---|\n";
    Settings defaults;
    for (const SettingKey &row : settingsTable()) {
        const SettingField field = row.field(defaults);
        const std::string range = row.highest > 0 ? fmt::format("{} to {}", row.lowest, row.highest) : "";
        std::string fallback = std::visit(FieldToText{}, field);
        if (fallback.empty()) {
            fallback = row.required ? "required" : "none";
        }
        const std::string type = row.isPath ? "path" : std::visit(FieldTypeName{}, field);
        markdown += fmt::format("| {} | {} | {} | {} | {} | {} |\n", row.section, row.key, type, range, fallback, row.meaning);
    }
    return markdown;
}

} // namespace cranberryreel::settings
