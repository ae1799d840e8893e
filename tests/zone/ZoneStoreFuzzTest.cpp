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

/// A record of dispatched attempts and reported outcomes, kept independently of the store; every job in the store must agree with it.
struct ExpectedHistory {
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> mayHaveRun; ///< Attempts, by task.
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> runningAttempt;
    std::map<std::string, std::string> jobOfKey;
    std::map<std::string, JobState> reportedFinal;
};

/// Applies random commands, including late, repeated and invalid ones, to a store and checks the store after each. run() returns the first fault found, or an
/// empty text.
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
            this->applyRandomCommand();
            if (std::string fault = this->check(); !fault.empty()) {
                return "step " + std::to_string(step) + ": " + fault;
            }
        }
        return {};
    }

private:
    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    std::string randomJobId()
    {
        return "z-" + std::to_string(this->randomBelow(Jobs));
    }

    void applyRandomCommand()
    {
        switch (this->randomBelow(12)) {
        case 0:
        case 1:
            this->submit();
            break;
        case 2:
            this->store.apply(0, zone::cancelCommand(this->randomJobId(), Now));
            break;
        case 3:
            this->store.apply(0, zone::refuseCommand(this->randomJobId(), ResultCode::NeverFits, "", Now));
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
        const std::size_t number = this->randomBelow(Jobs);
        spec.id = "z-" + std::to_string(number);
        spec.partner = "north";
        spec.kind = number % 2 == 0 ? JobKind::Request : JobKind::Batch;
        spec.tasks = number % 2 == 0 ? 1 : 3;
        spec.repeatable = number % 3 != 0;
        spec.key = spec.repeatable ? "" : "k" + std::to_string(this->randomBelow(Keys));
        const SubmitOutcome outcome = SubmitOutcome::decode(this->store.apply(0, zone::submitCommand(spec, Now)));
        const std::optional<JobRecord> stored = this->store.findJob(outcome.job);
        if (!spec.key.empty() && stored && stored->spec.key == spec.key) {
            const auto [found, isNew] = this->history.jobOfKey.try_emplace(spec.key, outcome.job);
            this->keyHasTwoJobs = this->keyHasTwoJobs || (!isNew && found->second != outcome.job);
        }
    }

    void change()
    {
        TaskChange change;
        change.job = this->randomJobId();
        const std::optional<JobRecord> job = this->store.findJob(change.job);
        if (!job) {
            return;
        }
        change.task = static_cast<std::uint32_t>(this->randomBelow(job->tasks.size()));
        change.kind = static_cast<TaskChangeKind>(this->randomBelow(3));
        const std::uint32_t stored = job->tasks[change.task].attempt;
        const bool assigning = change.kind == TaskChangeKind::Assign;
        // One change in four names an earlier attempt than expected, as a late or repeated proposal does.
        const std::uint32_t behind = this->randomBelow(4) == 0 ? static_cast<std::uint32_t>(this->randomBelow(3)) : 0;
        change.attempt = stored + (assigning ? 1 : 0) - std::min(behind, stored);
        change.upstream = "up";
        change.state = this->randomBelow(3) == 0 ? JobState::Unknown : this->randomBelow(2) == 0 ? JobState::Done : JobState::Failed;
        change.mayHaveRun = this->randomBelow(2) == 0;
        const bool allowed = this->store.apply(0, zone::changeCommand({change}, Now)) == "1";
        if (allowed) {
            this->recordAllowed(change);
        }
    }

    void recordAllowed(const TaskChange &change)
    {
        const auto task = std::make_pair(change.job, change.task);
        if (change.kind == TaskChangeKind::Assign) {
            this->assignedWhileRunning = this->assignedWhileRunning || this->history.runningAttempt.count(task) > 0;
            this->history.runningAttempt[task] = change.attempt;
            return;
        }
        const auto running = this->history.runningAttempt.find(task);
        const bool isCurrent = running != this->history.runningAttempt.end() && running->second == change.attempt;
        this->staleChangeAllowed = this->staleChangeAllowed || (running != this->history.runningAttempt.end() && !isCurrent);
        if (change.kind == TaskChangeKind::End || change.mayHaveRun) {
            this->history.mayHaveRun[task] += isCurrent ? 1 : 0;
        }
        this->history.runningAttempt.erase(task);
    }

    std::string check()
    {
        if (this->keyHasTwoJobs) {
            return "one idempotency key belongs to two jobs";
        }
        if (this->assignedWhileRunning) {
            return "a task was assigned while it was running";
        }
        if (this->staleChangeAllowed) {
            return "a change of an earlier attempt was allowed";
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
            const auto ran = this->history.mayHaveRun.find(name);
            const std::uint32_t runs = ran == this->history.mayHaveRun.end() ? 0 : ran->second;
            const bool runsNow = this->history.runningAttempt.count(name) > 0;
            if (!job.spec.repeatable && runs + (runsNow ? 1 : 0) > 1) {
                return "work that is not repeatable may have run twice: " + job.spec.id;
            }
            if (task.state == JobState::NotRun && (runs > 0 || runsNow)) {
                return "a task is reported as not run but may have run: " + job.spec.id;
            }
            if (job.cancelled && task.state == JobState::Accepted) {
                return "a task of a cancelled job is still waiting: " + job.spec.id;
            }
        }
        const auto reported = this->history.reportedFinal.find(job.spec.id);
        if (reported != this->history.reportedFinal.end() && reported->second != JobState::Unknown && reported->second != job.state) {
            return "a final state changed: " + job.spec.id;
        }
        if (cranberryreel::model::isFinal(job.state)) {
            this->history.reportedFinal[job.spec.id] = job.state;
        }
        return {};
    }

    ZoneStore store;
    std::mt19937_64 random;
    ExpectedHistory history;
    bool keyHasTwoJobs = false;
    bool assignedWhileRunning = false;
    bool staleChangeAllowed = false;
};

// Faulty rules; the checks above must detect each of them.

bool assignUnchecked(JobRecord &job, const TaskChange &change)
{
    TaskRecord &task = job.tasks[change.task];
    task.state = JobState::Running;
    task.attempt = change.attempt;
    return true;
}

bool assignCancelled(JobRecord &job, const TaskChange &change)
{
    const bool cancelled = std::exchange(job.cancelled, false);
    const bool allowed = job.tasks[change.task].state == JobState::NotRun ? assignUnchecked(job, change) : zone::applyAssign(job, change);
    job.cancelled = cancelled;
    return allowed;
}

bool endAnyAttempt(JobRecord &job, const TaskChange &change)
{
    TaskChange current = change;
    current.attempt = job.tasks[change.task].attempt;
    return zone::applyEnd(job, current);
}

bool endFinalTask(JobRecord &job, const TaskChange &change)
{
    TaskRecord &task = job.tasks[change.task];
    if (task.attempt != change.attempt || task.state == JobState::Accepted) {
        return false;
    }
    task.state = change.state;
    return true;
}

bool requeueNonRepeatable(JobRecord &job, const TaskChange &change)
{
    const bool repeatable = std::exchange(job.spec.repeatable, true);
    const bool allowed = zone::applyRequeue(job, change);
    job.spec.repeatable = repeatable;
    return allowed;
}

bool requeueWithoutCountingFailure(JobRecord &job, const TaskChange &change)
{
    TaskChange uncounted = change;
    const bool refused = change.mayHaveRun && !job.spec.repeatable;
    uncounted.mayHaveRun = false;
    return !refused && zone::applyRequeue(job, uncounted);
}

bool requeueAnyAttempt(JobRecord &job, const TaskChange &change)
{
    TaskChange current = change;
    current.attempt = job.tasks[change.task].attempt;
    return zone::applyRequeue(job, current);
}

void cancelMarksRunningNotRun(JobRecord &job)
{
    zone::applyCancel(job);
    for (TaskRecord &task : job.tasks) {
        if (task.state == JobState::Running) {
            task.state = JobState::NotRun;
        }
    }
}

void cancelWithoutEndingTasks(JobRecord &job)
{
    job.cancelled = true;
}

TaskRules rulesWith(TaskChangeKind kind, TaskRules::Rule rule)
{
    TaskRules rules;
    rules.byKind[static_cast<std::size_t>(kind)] = rule;
    return rules;
}

TaskRules rulesWithCancel(void (*cancel)(JobRecord &))
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
        {"assigns without checks", rulesWith(TaskChangeKind::Assign, &assignUnchecked)},
        {"assigns tasks of cancelled jobs", rulesWith(TaskChangeKind::Assign, &assignCancelled)},
        {"ends any attempt", rulesWith(TaskChangeKind::End, &endAnyAttempt)},
        {"ends a final task again", rulesWith(TaskChangeKind::End, &endFinalTask)},
        {"requeues work that is not repeatable", rulesWith(TaskChangeKind::Requeue, &requeueNonRepeatable)},
        {"does not count an attempt that may have run", rulesWith(TaskChangeKind::Requeue, &requeueWithoutCountingFailure)},
        {"requeues any attempt", rulesWith(TaskChangeKind::Requeue, &requeueAnyAttempt)},
        {"marks running work as not run", rulesWithCancel(&cancelMarksRunningNotRun)},
        {"cancels without ending waiting tasks", rulesWithCancel(&cancelWithoutEndingTasks)},
    };
    for (const auto &[name, rules] : mutations) {
        std::string fault;
        for (std::uint64_t run = 0; run < 5 && fault.empty(); ++run) {
            fault = StoreFuzz(rules, cranberryreel::support::testSeed() + run).run();
        }
        BOOST_TEST_MESSAGE(name << ": " << fault);
        BOOST_TEST(!fault.empty(), "not detected: " << name);
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
