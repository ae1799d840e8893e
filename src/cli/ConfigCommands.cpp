#include "cli/ConfigCommands.h"

#include "cli/TextTable.h"
#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/Error.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <chrono>
#include <random>
#include <thread>

namespace cranberryreel::cli
{

namespace
{

constexpr std::chrono::seconds InForceLimit{8};
constexpr std::chrono::milliseconds InForcePoll{300};
constexpr std::chrono::seconds LoadLimit{15};

std::string newChangeId()
{
    std::random_device random;
    return fmt::format("tool-{:08x}{:08x}", random(), random());
}

std::uint64_t fetchCurrentRevision(Session &session)
{
    EntryCall call;
    call.target = "/v1/config/current";
    return session.entryClient().call(call).value("revision", std::uint64_t{0});
}

nlohmann::json fetchConfigStatus(Session &session)
{
    EntryCall call;
    call.target = "/v1/config/status";
    return session.entryClient().call(call);
}

/// Returns the number of reachable VMs and how many of these serve the revision or a later one.
std::pair<std::size_t, std::size_t> countInForce(const nlohmann::json &status, std::uint64_t revision)
{
    std::size_t reachable = 0;
    std::size_t inForce = 0;
    for (const nlohmann::json &vm : status.value("vms", nlohmann::json::array())) {
        if (vm.value("reachable", false)) {
            reachable++;
            inForce += vm.value("revision", std::uint64_t{0}) >= revision ? 1 : 0;
        }
    }
    return {reachable, inForce};
}

void waitUntilInForce(Session &session, std::uint64_t revision)
{
    const auto deadline = base::steadyNow() + InForceLimit;
    while (true) {
        const auto [reachable, inForce] = countInForce(fetchConfigStatus(session), revision);
        if (session.onTerminal()) {
            session.out() << fmt::format("\rin force at {} of {} reachable VMs", inForce, reachable) << std::flush;
        }
        if (inForce == reachable || base::steadyNow() >= deadline) {
            session.out() << (session.onTerminal() ? "\r" : "") << fmt::format("in force at {} of {} reachable VMs\n", inForce, reachable);
            if (inForce < reachable) {
                session.out() << "some VMs serve an older revision; `cranberryreel config status` lists them\n";
            }
            return;
        }
        std::this_thread::sleep_for(InForcePoll);
    }
}

base::ResultCode loadConfigPart(Session &session, const Arguments &arguments, const char *part)
{
    const std::string path = arguments.operand(0);
    const std::string id = arguments.text("id", newChangeId());
    const std::string text = readFile(path);
    const auto statedRevision = arguments.number("from");
    const std::uint64_t from = statedRevision ? static_cast<std::uint64_t>(*statedRevision) : fetchCurrentRevision(session);
    EntryCall call;
    call.method = "POST";
    call.target = std::string("/v1/config/") + part;
    call.body = {{"id", id}, {"from_revision", from}, {"text", text}};
    call.limit = LoadLimit;
    nlohmann::json reply;
    try {
        reply = session.entryClient().call(call);
    } catch (const base::Error &error) {
        if (error.code() == base::ResultCode::OutcomeUnknown || error.code() == base::ResultCode::ConfigurationUnavailable) {
            throw base::Error(error.code(), fmt::format("{}\nto send the same change again: --from {} --id {}", error.what(), from, id));
        }
        throw;
    }
    if (session.wantsJson()) {
        session.printJson(reply);
        return base::ResultCode::Ok;
    }
    const std::uint64_t revision = reply.value("revision", std::uint64_t{0});
    session.out() << fmt::format("{} of '{}' is revision {}\n", part, path, revision);
    waitUntilInForce(session, revision);
    return base::ResultCode::Ok;
}

} // namespace

base::ResultCode loadRegister(Session &session, const Arguments &arguments)
{
    return loadConfigPart(session, arguments, "register");
}

base::ResultCode loadRules(Session &session, const Arguments &arguments)
{
    return loadConfigPart(session, arguments, "rules");
}

base::ResultCode showConfigStatus(Session &session, const Arguments &arguments)
{
    return session.showOrWatch(arguments, [&] {
        const nlohmann::json status = fetchConfigStatus(session);
        if (session.wantsJson()) {
            session.printJson(status);
            return true;
        }
        TextTable table({{"vm"}, {"revision", Align::Right}, {"state"}});
        for (const nlohmann::json &vm : status.value("vms", nlohmann::json::array())) {
            const bool reachable = vm.value("reachable", false);
            const bool stale = vm.value("stale", false);
            const Cell state = !reachable ? Cell{"not reachable", Tint::Bad} : stale ? Cell{"stale", Tint::Warning} : Cell{"current", Tint::Good};
            table.addRow({{vm.value("vm", "")}, {std::to_string(vm.value("revision", std::uint64_t{0}))}, state});
        }
        session.out() << table.toString(session.palette());
        return true;
    });
}

base::ResultCode showConfig(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.target = "/v1/config/current";
    const nlohmann::json current = session.entryClient().call(call);
    const std::string part = arguments.operand(0);
    if (session.wantsJson()) {
        session.printJson(current);
    } else if (part.empty()) {
        const std::string registerText = current.value("register", "");
        session.out() << fmt::format("; revision {}\n; register\n{}\n; rules\n{}\n", current.value("revision", 0), registerText, current.value("rules", ""));
    } else if (part == "register" || part == "rules") {
        session.out() << current.value(part, "");
    } else {
        throw base::Error(base::ResultCode::UsageError, fmt::format("'{}' is neither register nor rules", part));
    }
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
