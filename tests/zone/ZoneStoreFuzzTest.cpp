#include "support/Seed.h"
#include "zone/Commands.h"
#include "zone/ZoneStore.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>
#include <string>

using cranberryreel::base::ResultCode;
using cranberryreel::model::JobKind;
using cranberryreel::model::JobSpec;
using cranberryreel::model::JobState;
using cranberryreel::zone::JobRecord;
using cranberryreel::zone::SubmitOutcome;
using cranberryreel::zone::SubmitVerdict;
using cranberryreel::zone::TaskChange;
using cranberryreel::zone::TaskChangeKind;
using cranberryreel::zone::TaskRecord;
using cranberryreel::zone::TaskRules;
using cranberryreel::zone::ZoneStore;
namespace zone = cranberryreel::zone;

namespace
{

constexpr std::size_t Steps = 4000;
constexpr std::size_t Jobs = 24;
constexpr std::size_t Keys = 8;
constexpr std::chrono::milliseconds Now{1000000};

/// What must hold of every job, kept apart from the store: what was dispatched, and what callers were told.
struct Witnessed {
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> mayHaveRun; ///< Attempts, by task.
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> runningAttempt;
    std::map<std::string, std::string> jobOfKey;
    std::map<std::string, JobState> toldFinal;
};

/// Drives a store with random commands, a hostile proposer's among them, and checks it after each step. Empty when nothing was found wrong.
class StoreFuzz
{
public:
    StoreFuzz(const TaskRules &rules, std::uint64_t seed)
        : store(rules)
        , random(seed)
    {
    }

    std::string run()
    {
        for (std::size_t step = 0; step < Steps; ++step) {
            this->act();
            if (std::string fault = this->check(); !fault.empty()) {
                return "step " + std::to_string(step) + ": " + fault;
            }
        }
        return {};
    }

private:
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    std::string someJob()
    {
        return "z-" + std::to_string(this->below(Jobs));
    }

    void act()
    {
        switch (this->below(12)) {
        case 0:
        case 1:
            this->submit();
            break;
        case 2:
            this->store.apply(0, zone::cancelCommand(this->someJob(), Now));
            break;
        case 3:
            this->store.apply(0, zone::refuseCommand(this->someJob(), ResultCode::NeverFits, "", Now));
            break;
        case 4:
            this->store.restore(this->store.snapshot());
            break;
        default:
            this->change();
        }
    }

    void submit()
    {
        JobSpec spec;
        const std::size_t number = this->below(Jobs);
        spec.id = "z-" + std::to_string(number);
        spec.partner = "north";
        spec.kind = number % 2 == 0 ? JobKind::Request : JobKind::Batch;
        spec.tasks = number % 2 == 0 ? 1 : 3;
        spec.repeatable = number % 3 != 0;
        spec.key = spec.repeatable ? "" : "k" + std::to_string(this->below(Keys));
        const SubmitOutcome outcome = SubmitOutcome::decode(this->store.apply(0, zone::submitCommand(spec, Now)));
        const std::optional<JobRecord> kept = this->store.job(outcome.job);
        if (!spec.key.empty() && kept && kept->spec.key == spec.key) {
            const auto [place, isNew] = this->witnessed.jobOfKey.try_emplace(spec.key, outcome.job);
            this->wrongKey = this->wrongKey || (!isNew && place->second != outcome.job);
        }
    }

    void change()
    {
        TaskChange change;
        change.job = this->someJob();
        const std::optional<JobRecord> job = this->store.job(change.job);
        if (!job) {
            return;
        }
        change.task = static_cast<std::uint32_t>(this->below(job->tasks.size()));
        change.kind = static_cast<TaskChangeKind>(this->below(3));
        const std::uint32_t stored = job->tasks[change.task].attempt;
        const bool assigning = change.kind == TaskChangeKind::Assign;
        // One in four names another attempt than the next step would: a late or doubled proposal.
        const std::uint32_t late = this->below(4) == 0 ? static_cast<std::uint32_t>(this->below(3)) : 0;
        change.attempt = stored + (assigning ? 1 : 0) - std::min(late, stored);
        change.upstream = "up";
        change.state = this->below(3) == 0 ? JobState::Unknown : this->below(2) == 0 ? JobState::Done : JobState::Failed;
        change.mayHaveRun = this->below(2) == 0;
        const bool allowed = this->store.apply(0, zone::changeCommand({change}, Now)) == "1";
        if (allowed) {
            this->witness(change);
        }
    }

    void witness(const TaskChange &change)
    {
        const auto task = std::make_pair(change.job, change.task);
        if (change.kind == TaskChangeKind::Assign) {
            this->doubleRun = this->doubleRun || this->witnessed.runningAttempt.count(task) > 0;
            this->witnessed.runningAttempt[task] = change.attempt;
            return;
        }
        const auto running = this->witnessed.runningAttempt.find(task);
        const bool isCurrent = running != this->witnessed.runningAttempt.end() && running->second == change.attempt;
        this->staleStep = this->staleStep || (running != this->witnessed.runningAttempt.end() && !isCurrent);
        if (change.kind == TaskChangeKind::End || change.mayHaveRun) {
            this->witnessed.mayHaveRun[task] += isCurrent ? 1 : 0;
        }
        this->witnessed.runningAttempt.erase(task);
    }

    std::string check()
    {
        if (this->wrongKey) {
            return "one key stands for two jobs";
        }
        if (this->doubleRun) {
            return "a task was assigned while it ran";
        }
        if (this->staleStep) {
            return "a step of an earlier attempt was taken";
        }
        std::string fault;
        this->store.visitJobs([this, &fault](const JobRecord &job) {
            if (fault.empty()) {
                fault = this->checkJob(job);
            }
        });
        return fault;
    }

    std::string checkJob(const JobRecord &job)
    {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            const TaskRecord &task = job.tasks[index];
            const auto name = std::make_pair(job.spec.id, index);
            const auto ran = this->witnessed.mayHaveRun.find(name);
            const std::uint32_t runs = ran == this->witnessed.mayHaveRun.end() ? 0 : ran->second;
            const bool runsNow = this->witnessed.runningAttempt.count(name) > 0;
            if (!job.spec.repeatable && runs + (runsNow ? 1 : 0) > 1) {
                return "work that runs at most once may have run twice: " + job.spec.id;
            }
            if (task.state == JobState::NotRun && (runs > 0 || runsNow)) {
                return "told not run, and it may have run: " + job.spec.id;
            }
            if (job.cancelled && task.state == JobState::Accepted) {
                return "a task of a cancelled job still waits: " + job.spec.id;
            }
        }
        const auto told = this->witnessed.toldFinal.find(job.spec.id);
        if (told != this->witnessed.toldFinal.end() && told->second != JobState::Unknown && told->second != job.state) {
            return "a final state changed: " + job.spec.id;
        }
        if (cranberryreel::model::isFinal(job.state)) {
            this->witnessed.toldFinal[job.spec.id] = job.state;
        }
        return {};
    }

    ZoneStore store;
    std::mt19937_64 random;
    Witnessed witnessed;
    bool wrongKey = false;
    bool doubleRun = false;
    bool staleStep = false;
};

// Deliberate mutations, each of which the oracle has to notice.

bool assignWhatever(JobRecord &job, const TaskChange &change)
{
    TaskRecord &task = job.tasks[change.task];
    task.state = JobState::Running;
    task.attempt = change.attempt;
    return true;
}

bool assignThoughCancelled(JobRecord &job, const TaskChange &change)
{
    const bool cancelled = std::exchange(job.cancelled, false);
    const bool allowed = job.tasks[change.task].state == JobState::NotRun ? assignWhatever(job, change) : zone::assign(job, change);
    job.cancelled = cancelled;
    return allowed;
}

bool endAnyAttempt(JobRecord &job, const TaskChange &change)
{
    TaskChange current = change;
    current.attempt = job.tasks[change.task].attempt;
    return zone::end(job, current);
}

bool endAgain(JobRecord &job, const TaskChange &change)
{
    TaskRecord &task = job.tasks[change.task];
    if (task.attempt != change.attempt || task.state == JobState::Accepted) {
        return false;
    }
    task.state = change.state;
    return true;
}

bool requeueOnceOnlyWork(JobRecord &job, const TaskChange &change)
{
    const bool repeatable = std::exchange(job.spec.repeatable, true);
    const bool allowed = zone::requeue(job, change);
    job.spec.repeatable = repeatable;
    return allowed;
}

bool requeueForgetsRuns(JobRecord &job, const TaskChange &change)
{
    TaskChange forgetful = change;
    const bool refused = change.mayHaveRun && !job.spec.repeatable;
    forgetful.mayHaveRun = false;
    return !refused && zone::requeue(job, forgetful);
}

bool requeueAnyAttempt(JobRecord &job, const TaskChange &change)
{
    TaskChange current = change;
    current.attempt = job.tasks[change.task].attempt;
    return zone::requeue(job, current);
}

void cancelCallsRunningNotRun(JobRecord &job)
{
    zone::cancel(job);
    for (TaskRecord &task : job.tasks) {
        if (task.state == JobState::Running) {
            task.state = JobState::NotRun;
        }
    }
}

void cancelOnlyMarks(JobRecord &job)
{
    job.cancelled = true;
}

TaskRules withRule(TaskChangeKind kind, TaskRules::Rule rule)
{
    TaskRules rules;
    rules.ofKind[static_cast<std::size_t>(kind)] = rule;
    return rules;
}

TaskRules withCancel(void (*cancel)(JobRecord &))
{
    TaskRules rules;
    rules.cancel = cancel;
    return rules;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneStoreFuzzTest)

BOOST_AUTO_TEST_CASE(rulesHoldUnderRandomAndLateProposals)
{
    const std::uint64_t seed = cranberryreel::support::testSeed();
    BOOST_TEST_MESSAGE("seed " << seed);
    for (std::uint64_t run = 0; run < 10; ++run) {
        const std::string fault = StoreFuzz({}, seed + run).run();
        BOOST_TEST(fault.empty(), "seed " << seed + run << ", " << fault);
    }
}

BOOST_AUTO_TEST_CASE(everyMutationIsNoticed)
{
    const std::map<std::string, TaskRules> mutations = {
        {"assigns whatever it is told", withRule(TaskChangeKind::Assign, &assignWhatever)},
        {"assigns though cancelled", withRule(TaskChangeKind::Assign, &assignThoughCancelled)},
        {"ends any attempt", withRule(TaskChangeKind::End, &endAnyAttempt)},
        {"ends what has ended", withRule(TaskChangeKind::End, &endAgain)},
        {"requeues work that runs once", withRule(TaskChangeKind::Requeue, &requeueOnceOnlyWork)},
        {"forgets that an attempt may have run", withRule(TaskChangeKind::Requeue, &requeueForgetsRuns)},
        {"requeues any attempt", withRule(TaskChangeKind::Requeue, &requeueAnyAttempt)},
        {"calls running work not run", withCancel(&cancelCallsRunningNotRun)},
        {"cancels without ending what waits", withCancel(&cancelOnlyMarks)},
    };
    for (const auto &[name, rules] : mutations) {
        std::string fault;
        for (std::uint64_t run = 0; run < 5 && fault.empty(); ++run) {
            fault = StoreFuzz(rules, cranberryreel::support::testSeed() + run).run();
        }
        BOOST_TEST_MESSAGE(name << ": " << fault);
        BOOST_TEST(!fault.empty(), "not noticed: " << name);
    }
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoCommandChangeNothing)
{
    std::mt19937_64 random(cranberryreel::support::testSeed());
    ZoneStore store;
    JobSpec spec;
    spec.id = "z-1";
    const std::string good = zone::submitCommand(spec, Now);
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = good;
        for (std::size_t flips = 1 + random() % 8; flips > 0; --flips) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(random() % (bytes.size() + 1));
        store.apply(0, bytes);
    }
    BOOST_TEST(store.jobCount() <= 20000U);
    BOOST_CHECK_THROW(store.restore("no snapshot"), std::exception);
}

BOOST_AUTO_TEST_SUITE_END()
