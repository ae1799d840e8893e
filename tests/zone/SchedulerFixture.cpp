#include "zone/SchedulerFixture.h"

#include <stdexcept>
#include <thread>

namespace cranberryreel::testsupport
{

namespace
{

constexpr std::chrono::seconds WaitLimit{20};
constexpr std::chrono::milliseconds PollInterval{2};

} // namespace

SchedulerFixture::SchedulerFixture()
{
    this->options.zone = "z";
    this->options.ownVm = "z-1";
    this->options.taskLease = std::chrono::milliseconds(400);
    this->options.deliveryMargin = std::chrono::milliseconds(100);
    this->options.renewInterval = std::chrono::milliseconds(50);
    this->options.fullReportInterval = std::chrono::milliseconds(100);
    this->options.silentAfter = std::chrono::milliseconds(200);
    this->options.retryDelay = std::chrono::milliseconds(5);
    for (const std::string vm : {"vm-1", "vm-2"}) {
        this->configuration->vms[vm] = {vm, "z", "rack-1", {8000, 16384, 0}};
    }
    this->configuration->partners["north"] = {"north", "", false};
    this->scheduler = this->makeScheduler();
    this->scheduler->leadershipAcquired(this->term);
}

SchedulerFixture::~SchedulerFixture()
{
    this->scheduler->stop();
}

std::unique_ptr<zone::ZoneScheduler> SchedulerFixture::makeScheduler()
{
    auto created = std::make_unique<zone::ZoneScheduler>(this->options, this->store, this->fleet, [this] { return this->configuration; });
    created->attach(this->group, [](const zone::Beacon &) {});
    created->start();
    return created;
}

void SchedulerFixture::takeOver()
{
    this->scheduler->leadershipLost(this->term);
    this->scheduler->stop();
    this->term += 1;
    this->scheduler = this->makeScheduler();
    this->scheduler->leadershipAcquired(this->term);
}

void SchedulerFixture::addUpstream(const std::string &id, std::uint32_t slots)
{
    this->fleet.add(id, id == "up-2" ? "vm-2" : "vm-1", slots);
    this->announce(id);
    const auto accepting = [this, &id] {
        const std::string view = this->call(zone::ViewCall{"upstreams", ""}).json;
        const std::size_t row = view.find("\"id\":\"" + id + "\"");
        return row != std::string::npos && view.rfind("\"accepting\":true", row) != std::string::npos;
    };
    if (!eventually(accepting)) {
        throw std::runtime_error("upstream " + id + " does not accept work");
    }
}

void SchedulerFixture::announce(const std::string &id)
{
    this->call(zone::AnnounceCall{this->fleet.report(id)});
}

model::JobSpec SchedulerFixture::request(const std::string &id) const
{
    model::JobSpec spec;
    spec.id = id;
    spec.partner = "north";
    spec.name = "quote";
    spec.perTask = {1000, 512, 0};
    spec.deadline = std::chrono::seconds(15);
    spec.payload = id;
    return spec;
}

model::JobSpec SchedulerFixture::batch(const std::string &id, std::uint32_t tasks) const
{
    model::JobSpec spec = this->request(id);
    spec.kind = model::JobKind::Batch;
    spec.name = "sweep";
    spec.tasks = tasks;
    spec.deadline = std::chrono::milliseconds(0);
    return spec;
}

std::future<zone::ZoneReply> SchedulerFixture::callLater(const zone::CallBody &body)
{
    auto promise = std::make_shared<std::promise<zone::ZoneReply>>();
    this->scheduler->call({"z", body}, {}, [promise](const zone::ZoneReply &reply) { promise->set_value(reply); });
    return promise->get_future();
}

zone::ZoneReply SchedulerFixture::call(const zone::CallBody &body)
{
    std::future<zone::ZoneReply> reply = this->callLater(body);
    if (reply.wait_for(WaitLimit) != std::future_status::ready) {
        throw std::runtime_error("no reply");
    }
    return reply.get();
}

std::future<zone::ZoneReply> SchedulerFixture::submitLater(const model::JobSpec &spec, bool mayExist)
{
    return this->callLater(zone::SubmitCall{spec, mayExist});
}

zone::ZoneReply SchedulerFixture::submit(const model::JobSpec &spec, bool mayExist)
{
    return this->call(zone::SubmitCall{spec, mayExist});
}

zone::ZoneReply SchedulerFixture::lookup(const model::JobId &id)
{
    return this->call(zone::LookupCall{id, std::chrono::milliseconds(0)});
}

zone::ZoneReply SchedulerFixture::cancel(const model::JobId &id)
{
    return this->call(zone::CancelCall{id});
}

bool SchedulerFixture::eventually(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + WaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

bool SchedulerFixture::reachesState(const model::JobId &id, model::JobState state)
{
    return eventually([this, &id, state] { return this->lookup(id).status.state == state; });
}

} // namespace cranberryreel::testsupport
