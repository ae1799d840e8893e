#include "cli/ViewCommands.h"

#include "cli/TextTable.h"
#include "cli/WorkCommands.h"
#include "cli/WorkStatus.h"

#include <fmt/format.h>

namespace cranberryreel::cli
{

namespace
{

/// One column of a view: the JSON key of its value, and the format and colour of the text.
struct Field {
    Column column;
    const char *key;
    std::string (*format)(const nlohmann::json &value);
    Tint (*tint)(const std::string &text);
};

std::string asText(const nlohmann::json &value)
{
    return value.is_null() ? "" : value.is_string() ? value.get<std::string>() : value.dump();
}

std::string asPercent(const nlohmann::json &value)
{
    return value.is_number() ? fmt::format("{:.1f}%", value.get<double>() * 100) : "";
}

std::string asMilliseconds(const nlohmann::json &value)
{
    return value.is_number() ? fmt::format("{} ms", value.get<std::int64_t>()) : "";
}

std::string asYesNo(const nlohmann::json &value)
{
    return value.is_boolean() ? (value.get<bool>() ? "yes" : "no") : "";
}

Tint plain(const std::string & /*text*/)
{
    return Tint::Plain;
}

Tint warnOnNo(const std::string &text)
{
    return text == "no" ? Tint::Warning : Tint::Plain;
}

void printRows(Session &session, const nlohmann::json &rows, const std::vector<Field> &fields)
{
    std::vector<Column> columns;
    columns.reserve(fields.size());
    for (const Field &field : fields) {
        columns.push_back(field.column);
    }
    TextTable table(columns);
    for (const nlohmann::json &row : rows) {
        std::vector<Cell> cells;
        for (const Field &field : fields) {
            const std::string text = field.format(row.contains(field.key) ? row[field.key] : nlohmann::json(nullptr));
            cells.push_back({text, field.tint(text)});
        }
        table.addRow(std::move(cells));
    }
    session.out() << table.toString(session.palette());
}

base::ResultCode showView(Session &session, const Arguments &arguments, const std::string &viewName, const std::vector<Field> &fields)
{
    return session.showOrWatch(arguments, [&] {
        EntryCall call;
        call.target = "/v1/ops/" + viewName;
        if (const std::string filter = arguments.operand(0); !filter.empty()) {
            call.target += "?filter=" + encodePathSegment(filter);
        }
        const nlohmann::json view = session.entryClient().call(call);
        if (session.wantsJson()) {
            session.printJson(view);
            return true;
        }
        printRows(session, view.value(viewName, nlohmann::json::array()), fields);
        for (const nlohmann::json &zone : view.value("unreachable_zones", nlohmann::json::array())) {
            session.out() << session.palette().paint(fmt::format("zone {} gave no answer\n", asText(zone)), Tint::Bad);
        }
        return true;
    });
}

} // namespace

base::ResultCode showUpstreams(Session &session, const Arguments &arguments)
{
    return showView(session,
                    arguments,
                    "upstreams",
                    {{{"upstream", Align::Left, true}, "id", asText, plain},
                     {{"vm", Align::Left, true}, "vm", asText, plain},
                     {{"zone"}, "zone", asText, plain},
                     {{"state"}, "state", asText, stateTint},
                     {{"accepting"}, "accepting", asYesNo, warnOnNo},
                     {{"registered"}, "registered", asYesNo, warnOnNo},
                     {{"slots", Align::Right}, "slots", asText, plain}});
}

base::ResultCode showJobs(Session &session, const Arguments &arguments)
{
    return showView(session,
                    arguments,
                    "jobs",
                    {{{"id"}, "id", asText, plain},
                     {{"kind"}, "kind", asText, plain},
                     {{"partner", Align::Left, true}, "partner", asText, plain},
                     {{"name", Align::Left, true}, "name", asText, plain},
                     {{"state"}, "state", asText, stateTint},
                     {{"tasks", Align::Right}, "tasks", asText, plain},
                     {{"running", Align::Right}, "running", asText, plain}});
}

base::ResultCode showShares(Session &session, const Arguments &arguments)
{
    return showView(session,
                    arguments,
                    "shares",
                    {{{"partner", Align::Left, true}, "partner", asText, plain},
                     {{"zone"}, "zone", asText, plain},
                     {{"due", Align::Right}, "due", asPercent, plain},
                     {{"used", Align::Right}, "used", asPercent, plain},
                     {{"waiting", Align::Right}, "waiting", asText, plain},
                     {{"running", Align::Right}, "running", asText, plain}});
}

base::ResultCode showZones(Session &session, const Arguments &arguments)
{
    return showView(session,
                    arguments,
                    "zones",
                    {{{"zone"}, "zone", asText, plain},
                     {{"scheduler", Align::Left, true}, "leader", asText, plain},
                     {{"epoch", Align::Right, true}, "epoch", asText, plain},
                     {{"placing"}, "placing", asYesNo, warnOnNo},
                     {{"used", Align::Right}, "used", asPercent, plain},
                     {{"waiting", Align::Right}, "waiting", asText, plain},
                     {{"wait", Align::Right}, "expected_wait_ms", asMilliseconds, plain},
                     {{"jobs", Align::Right}, "jobs", asText, plain},
                     {{"upstreams", Align::Right}, "upstreams", asText, plain}});
}

base::ResultCode explainWork(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.target = "/v1/ops/explain/" + encodePathSegment(arguments.operand(0));
    const nlohmann::json explanation = session.entryClient().call(call);
    if (session.wantsJson()) {
        session.printJson(explanation);
        return base::ResultCode::Ok;
    }
    const std::string state = explanation.value("state", "");
    session.out() << fmt::format(
        "{} ({}): {}\n", explanation.value("id", arguments.operand(0)), session.palette().paint(state, stateTint(state)), explanation.value("reason", ""));
    return base::ResultCode::Ok;
}

base::ResultCode changeZoneMembers(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.method = "POST";
    call.target = "/v1/ops/members/" + encodePathSegment(arguments.operand(0));
    call.body = {{"members", arguments.values("member")}};
    if (arguments.has("witness")) {
        call.body["witness"] = arguments.text("witness");
    }
    const nlohmann::json reply = session.entryClient().call(call);
    if (session.wantsJson()) {
        session.printJson(reply);
    } else {
        session.out() << fmt::format(
            "the group of zone {} has {} members now\n", arguments.operand(0), arguments.values("member").size() + (arguments.has("witness") ? 1 : 0));
    }
    return base::ResultCode::Ok;
}

base::ResultCode drainVm(Session &session, const Arguments &arguments)
{
    const bool draining = !arguments.has("undo");
    EntryCall call;
    call.method = "POST";
    call.target = "/v1/ops/drain/" + encodePathSegment(arguments.operand(0));
    call.body = {{"draining", draining}};
    const nlohmann::json reply = session.entryClient().call(call);
    if (session.wantsJson()) {
        session.printJson(reply);
    } else if (draining) {
        session.out() << fmt::format("{} gets no new work; `cranberryreel jobs` shows what still runs\n", arguments.operand(0));
    } else {
        session.out() << fmt::format("{} gets work again\n", arguments.operand(0));
    }
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
