#include "zone/ViewRenderer.h"

#include "zone/JobRecord.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxJobsShown = 1000;

constexpr std::array<const char *, 4> PhaseNames = {"fencing", "live", "silent", "lost"};
constexpr std::array<const char *, 6> StateNames = {"accepted", "running", "done", "failed", "not_run", "unknown"};
constexpr std::array<const char *, 4> KindNames = {"request", "service", "batch", "gang"};

Json sizeOf(const model::Resources &size)
{
    return {{"cpu_millis", size.cpuMillis}, {"memory_mib", size.memoryMiB}, {"accelerators", size.accelerators}};
}

} // namespace

std::optional<std::string> ViewRenderer::render(const std::string &what, const std::string &filter) const
{
    if (what == "explain") {
        return this->explain(filter);
    }
    using Renderer = std::string (ViewRenderer::*)(const std::string &) const;
    static constexpr std::array<std::pair<const char *, Renderer>, 4> Renderers = {
        {{"upstreams", &ViewRenderer::upstreams}, {"jobs", &ViewRenderer::jobs}, {"shares", &ViewRenderer::shares}, {"zones", &ViewRenderer::zones}}};
    for (const auto &[name, renderer] : Renderers) {
        if (what == name) {
            return (this->*renderer)(filter);
        }
    }
    return std::nullopt;
}

std::string ViewRenderer::upstreams(const std::string &filter) const
{
    Json rows = Json::array();
    for (const UpstreamEntry *entry : this->fleet.allEntries()) {
        if (!filter.empty() && filter != this->context.options.zone && filter != entry->record.vm) {
            continue;
        }
        const bool registered = this->configuration.vms.count(entry->record.vm) > 0;
        rows.push_back({{"id", entry->record.id},
                        {"vm", entry->record.vm},
                        {"zone", this->context.options.zone},
                        {"state", entry->leaving ? "leaving" : PhaseNames[static_cast<std::size_t>(entry->phase)]},
                        {"accepting", entry->accepting && registered},
                        {"registered", registered},
                        {"slots", entry->record.slots},
                        {"address", entry->record.address},
                        {"boot", entry->record.boot}});
    }
    return rows.dump();
}

std::string ViewRenderer::jobs(const std::string &partner) const
{
    Json rows = Json::array();
    this->context.store.visitJobs([&rows, &partner](const JobRecord &job) {
        if ((!partner.empty() && job.spec.partner != partner) || rows.size() >= MaxJobsShown) {
            return;
        }
        std::size_t running = 0;
        for (const TaskRecord &task : job.tasks) {
            running += task.state == model::JobState::Running ? 1 : 0;
        }
        rows.push_back({{"id", job.spec.id},
                        {"kind", KindNames[static_cast<std::size_t>(job.spec.kind)]},
                        {"partner", job.spec.partner},
                        {"name", job.spec.name},
                        {"state", StateNames[static_cast<std::size_t>(job.state)]},
                        {"tasks", job.tasks.size()},
                        {"running", running},
                        {"per_task", sizeOf(job.spec.perTask)}});
    });
    return rows.dump();
}

std::string ViewRenderer::shares(const std::string &partner) const
{
    Json rows = Json::array();
    for (const policy::PartnerShare &row : this->planner.shares(base::steadyNow())) {
        if (partner.empty() || row.partner == partner) {
            rows.push_back({{"partner", row.partner},
                            {"zone", this->context.options.zone},
                            {"due", row.fairShare},
                            {"used", row.used},
                            {"waiting", row.waiting},
                            {"running", row.running}});
        }
    }
    return rows.dump();
}

std::string ViewRenderer::zones(const std::string & /*filter*/) const
{
    const policy::LoadView load = this->planner.load(base::steadyNow());
    const Json rows = Json::array({{{"zone", this->context.options.zone},
                                    {"leader", this->context.options.ownVm},
                                    {"epoch", this->context.epoch},
                                    {"placing", this->fleet.mayPlace(base::steadyNow())},
                                    {"recovered", this->recovered},
                                    {"used", load.used},
                                    {"waiting", load.waiting},
                                    {"expected_wait_ms", load.expectedWait.count()},
                                    {"jobs", this->context.store.jobCount()},
                                    {"upstreams", this->fleet.allEntries().size()}}});
    return rows.dump();
}

std::optional<std::string> ViewRenderer::explain(const std::string &id) const
{
    std::string reason = this->planner.explain(id, base::steadyNow());
    const std::optional<JobRecord> record = this->context.store.findJob(id);
    if (reason.empty() && !record) {
        return std::nullopt;
    }
    Json out = {{"id", id}, {"zone", this->context.options.zone}};
    if (record) {
        out["partner"] = record->spec.partner;
        out["state"] = StateNames[static_cast<std::size_t>(record->state)];
        if (model::isFinal(record->state)) {
            reason = record->reason.empty() ? "the job has ended" : record->reason;
        }
    }
    out["reason"] = reason;
    return out.dump();
}

} // namespace cranberryreel::zone
