#include "cli/WorkStatus.h"

#include "cli/TextTable.h"

#include <fmt/format.h>

namespace cranberryreel::cli
{

namespace
{

constexpr std::size_t MaxTasksShown = 40;

void printTasks(Session &session, const nlohmann::json &tasks)
{
    TextTable table({{"task", Align::Right}, {"state"}, {"code", Align::Right}, {"attempt", Align::Right}, {"upstream", Align::Left, true}});
    std::size_t shown = 0;
    for (const nlohmann::json &task : tasks) {
        if (++shown > MaxTasksShown) {
            break;
        }
        const std::string state = task.value("state", "");
        table.addRow({{std::to_string(task.value("index", 0))},
                      {state, stateTint(state)},
                      {std::to_string(task.value("code", 0))},
                      {std::to_string(task.value("attempt", 0))},
                      {task.value("upstream", "")}});
    }
    session.out() << table.toString(session.palette());
    if (tasks.size() > MaxTasksShown) {
        session.out() << fmt::format("and {} more; --json shows all\n", tasks.size() - MaxTasksShown);
    }
}

} // namespace

Tint stateTint(const std::string &state)
{
    if (state == "done" || state == "running" || state == "live") {
        return Tint::Good;
    }
    if (state == "failed" || state == "unknown" || state == "lost") {
        return Tint::Bad;
    }
    return state == "accepted" ? Tint::Plain : Tint::Warning;
}

void printWork(Session &session, const nlohmann::json &status)
{
    if (session.wantsJson()) {
        session.printJson(status);
        return;
    }
    const std::string state = status.value("state", "");
    session.out() << fmt::format("{}  {} '{}' of {}: {}\n",
                                 status.value("id", ""),
                                 status.value("kind", "work"),
                                 status.value("name", ""),
                                 status.value("partner", ""),
                                 session.palette().paint(state, stateTint(state)));
    if (const int code = status.value("code", 0); code != 0) {
        session.out() << fmt::format("{} ({})\n", status.value("code_name", ""), code);
    }
    if (const std::string reason = status.value("reason", ""); !reason.empty()) {
        session.out() << reason << '\n';
    }
    if (const std::string trace = status.value("trace_id", ""); !trace.empty()) {
        session.out() << "trace " << trace << '\n';
    }
    if (status.contains("tasks") && status["tasks"].size() > 1) {
        printTasks(session, status["tasks"]);
    }
    if (status.contains("answer")) {
        session.out() << "answer: " << status.value("answer", "") << '\n';
    }
}

base::ResultCode workResultCode(const nlohmann::json &status)
{
    return static_cast<base::ResultCode>(status.value("code", 0));
}

bool isFinished(const nlohmann::json &status)
{
    const std::string state = status.value("state", "");
    return state != "accepted" && state != "running";
}

} // namespace cranberryreel::cli
