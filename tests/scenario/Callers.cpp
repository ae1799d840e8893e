#include "scenario/Callers.h"

#include "cranberryreel/base/ResultCode.h"

#include <fmt/format.h>

#include <set>

namespace cranberryreel::scenario
{

namespace
{

constexpr unsigned CallerThreads = 256; ///< Enough that requests to a frozen VM leave threads free.
constexpr unsigned CancelThreads = 16;
constexpr Milliseconds DefaultDeadline{10000};
constexpr Milliseconds DefaultRunTime{20};
constexpr Milliseconds ResponseMargin{5000}; ///< Added to a deadline or wait before the HTTP call times out.
constexpr Milliseconds PollWait{2000};
constexpr std::int64_t TaskCpuMillis = 100;
constexpr std::int64_t TaskMemoryMiB = 64;

/// Whether a result code means, by docs/RESULT_CODES.md, that the attempt certainly did not run. Input errors (2000 to 2999, except the time limit) do.
bool meansNotRun(int code)
{
    using base::ResultCode;
    static const std::set<ResultCode> codes{ResultCode::NeverFits,
                                            ResultCode::DeadlineUnreachable,
                                            ResultCode::QueueFull,
                                            ResultCode::QuotaExceeded,
                                            ResultCode::CancelledBeforeStart,
                                            ResultCode::NoLeader,
                                            ResultCode::HomeZoneUnreachable,
                                            ResultCode::NoDurableStore,
                                            ResultCode::ShuttingDown,
                                            ResultCode::ConfigurationUnavailable,
                                            ResultCode::DeadlinePassed,
                                            ResultCode::TooManyConnections,
                                            ResultCode::ConfigurationUnavailable,
                                            ResultCode::Unauthorized,
                                            ResultCode::Forbidden};
    return codes.count(static_cast<ResultCode>(code)) > 0;
}

Response parseResponse(const ApiReply &reply)
{
    const nlohmann::json json = reply.json();
    Response response;
    response.code = json.value("code", -1);
    response.reason = json.value("reason", "");
    if (json.contains("state")) {
        response.state = json.value("state", "");
        response.answer = json.value("answer", "");
        response.id = json.value("id", "");
    } else if (reply.status != 0 && response.code >= 0) {
        response.state = meansNotRun(response.code) ? "refused" : "unknown";
    } else {
        response.state = reply.connected ? "lost" : "unreached";
    }
    return response;
}

bool isFinal(const std::string &state)
{
    return state != "accepted" && state != "running";
}

std::string requestBody(const Work &work, const WorkOptions &options)
{
    const Milliseconds running = options.running.value_or(DefaultRunTime);
    const nlohmann::json payload = {{"echo", work.token}, {"run_ms", running.count()}};
    nlohmann::json body = {{"name", work.name},
                           {"cpu_millis", TaskCpuMillis},
                           {"memory_mib", TaskMemoryMiB},
                           {"run_time_ms", running.count()},
                           {"repeatable", !work.once},
                           {"key", work.key},
                           {"payload", payload.dump()}};
    if (work.isJob) {
        body["kind"] = *options.kind;
        body["tasks"] = work.tasks;
    }
    if (!work.isJob || options.deadline) {
        body["deadline_ms"] = options.deadline.value_or(DefaultDeadline).count();
    }
    return body.dump();
}

} // namespace

Callers::Callers(const Cluster &scenarioCluster)
    : cluster(scenarioCluster)
{
    this->threads.reserve(CallerThreads);
    for (unsigned i = 0; i < CallerThreads; ++i) {
        this->threads.emplace_back([this] { this->runThread(); });
    }
}

Callers::~Callers()
{
    this->endAllLoads();
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void Callers::submit(const std::string &name, const std::string &vm, const std::string &zone, const WorkOptions &options)
{
    Work work;
    work.name = name;
    work.isJob = options.kind && *options.kind != "request";
    work.once = options.once;
    work.tasks = options.tasks.value_or(1);
    std::size_t index = 0;
    {
        absl::MutexLock lock(&this->mutex);
        work.token = fmt::format("{}-{}", name, ++this->sequence[name]);
        work.key = fmt::format("{}:{}", options.keyZone.value_or(zone), work.token);
        work.body = requestBody(work, options);
        index = this->allWork.size();
        this->allWork.push_back(std::move(work));
    }
    this->enqueue([this, index, vm] { this->sendOrPoll(index, vm); });
}

void Callers::resend(const std::string &name, const std::string &vm)
{
    absl::MutexLock lock(&this->mutex);
    for (std::size_t index = 0; index < this->allWork.size(); ++index) {
        if (this->allWork.at(index).name == name) {
            this->tasks.emplace_back([this, index, vm] { this->sendOrPoll(index, vm); });
        }
    }
}

void Callers::cancel(const std::string &name, const std::string &vm)
{
    this->awaitIdle(DefaultDeadline);
    const std::vector<Work> works = this->worksNamed(name);
    std::atomic<std::size_t> next{0};
    const auto cancelSome = [&works, &next, url = this->cluster.entryUrl(vm) + "/v1/submissions/"] {
        for (std::size_t index = next++; index < works.size(); index = next++) {
            if (!works.at(index).id.empty()) {
                callApi("DELETE", url + works.at(index).id, Cluster::PartnerKey, "", DefaultDeadline);
            }
        }
    };
    std::vector<std::thread> cancellers;
    cancellers.reserve(CancelThreads);
    for (unsigned i = 0; i < CancelThreads; ++i) {
        cancellers.emplace_back(cancelSome);
    }
    for (std::thread &canceller : cancellers) {
        canceller.join();
    }
}

void Callers::beginLoad(const std::string &name,
                        std::vector<std::string> vms,
                        std::function<std::string(const std::string &vm)> zoneOf,
                        Milliseconds every,
                        const WorkOptions &options)
{
    auto load = std::make_unique<Load>();
    load->thread = std::thread([this, name, vms = std::move(vms), zoneOf = std::move(zoneOf), every, options, &ending = load->ending] {
        auto due = std::chrono::steady_clock::now();
        for (std::size_t turn = 0; !ending.load(); ++turn) {
            const std::string &vm = vms.at(turn % vms.size());
            this->submit(name, vm, zoneOf(vm), options);
            due += every;
            std::this_thread::sleep_until(due);
        }
    });
    this->loads[name] = std::move(load);
}

void Callers::endLoad(const std::string &name)
{
    if (const auto found = this->loads.find(name); found != this->loads.end()) {
        found->second->ending.store(true);
        found->second->thread.join();
        this->loads.erase(found);
    }
}

void Callers::endAllLoads()
{
    while (!this->loads.empty()) {
        this->endLoad(this->loads.begin()->first);
    }
}

bool Callers::settle(const std::vector<std::string> &vms, Milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    for (std::size_t turn = 0; std::chrono::steady_clock::now() < deadline; ++turn) {
        this->awaitIdle(limit);
        const std::vector<std::size_t> open = this->unansweredIndexes();
        if (open.empty()) {
            return true;
        }
        for (const std::size_t index : open) {
            this->enqueue([this, index, vm = vms.at((turn + index) % vms.size())] { this->sendOrPoll(index, vm); });
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return this->unansweredIndexes().empty();
}

void Callers::awaitIdle(Milliseconds limit)
{
    const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) { return this->tasks.empty() && this->busy == 0; };
    absl::MutexLock lock(&this->mutex);
    this->mutex.AwaitWithTimeout(absl::Condition(&idle), absl::FromChrono(limit));
}

std::vector<Work> Callers::works() const
{
    absl::MutexLock lock(&this->mutex);
    return this->allWork;
}

std::vector<Work> Callers::worksNamed(const std::string &name) const
{
    std::vector<Work> named;
    for (const Work &work : this->works()) {
        if (work.name == name) {
            named.push_back(work);
        }
    }
    return named;
}

void Callers::enqueue(std::function<void()> task)
{
    absl::MutexLock lock(&this->mutex);
    this->tasks.push_back(std::move(task));
}

void Callers::runThread()
{
    const auto hasWork = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) { return this->stopping || !this->tasks.empty(); };
    while (true) {
        std::function<void()> task;
        {
            absl::MutexLock lock(&this->mutex);
            this->mutex.Await(absl::Condition(&hasWork));
            if (this->stopping) {
                return;
            }
            task = std::move(this->tasks.front());
            this->tasks.pop_front();
            ++this->busy;
        }
        task();
        absl::MutexLock lock(&this->mutex);
        --this->busy;
    }
}

void Callers::sendOrPoll(std::size_t index, const std::string &vm)
{
    const Work work = this->workAt(index);
    if (!work.id.empty()) {
        this->pollStatus(index, vm);
        return;
    }
    const std::string url = this->cluster.entryUrl(vm) + (work.isJob ? "/v1/jobs" : "/v1/requests");
    this->recordReply(index, callApi("POST", url, Cluster::PartnerKey, work.body, DefaultDeadline + ResponseMargin));
}

void Callers::pollStatus(std::size_t index, const std::string &vm)
{
    const Work work = this->workAt(index);
    if (work.id.empty()) {
        return;
    }
    const std::string url = fmt::format("{}/v1/submissions/{}?wait_ms={}", this->cluster.entryUrl(vm), work.id, PollWait.count());
    this->recordReply(index, callApi("GET", url, Cluster::PartnerKey, "", PollWait + ResponseMargin));
}

void Callers::recordReply(std::size_t index, const ApiReply &reply)
{
    Response response = parseResponse(reply);
    absl::MutexLock lock(&this->mutex);
    Work &work = this->allWork.at(index);
    if (!response.id.empty()) {
        work.id = response.id;
    }
    if (isFinal(response.state)) {
        work.responses.push_back(std::move(response));
    }
}

Work Callers::workAt(std::size_t index) const
{
    absl::MutexLock lock(&this->mutex);
    return this->allWork.at(index);
}

std::vector<std::size_t> Callers::unansweredIndexes() const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < this->allWork.size(); ++index) {
        if (!this->allWork.at(index).isAnswered()) {
            open.push_back(index);
        }
    }
    return open;
}

} // namespace cranberryreel::scenario
