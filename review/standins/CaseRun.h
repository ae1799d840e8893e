#pragma once

#include "Record.h"

#include <chrono>
#include <functional>
#include <string>

namespace cranberryreel::review
{

/// Exit statuses of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Surroundings of one run of a case: its record, a temporary folder that is deleted at the end, and whether the disruption takes place. Owned by main().
class CaseRun
{
public:
    /// `arguments` are those of main(): the folder of the case.
    CaseRun(int count, char **arguments);
    ~CaseRun();
    CaseRun(const CaseRun &) = delete;
    CaseRun &operator=(const CaseRun &) = delete;

    Record &record();
    const std::string &workFolder() const;

    /// False with TROUBLE=0 in the environment.
    bool hasTrouble() const;

    /// Records why the case could not run, and returns CouldNotRun.
    int couldNotRun(const std::string &why);

    /// Records the outcome, and returns the exit status.
    int finish(bool broken);

private:
    std::string folder;
    Record caseRecord;
    bool trouble;
};

/// Waits until the condition holds; false after the limit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

/// A configuration with one queue, host "h" and prefix "/p/", whose service is "s".
std::string sampleConfiguration(int version);

/// Submits a job of one step and records the answer. `step` holds the fields of the step. Returns the status.
int submitJob(Record &record, const std::string &frontend, const std::string &id, const std::string &payload, const std::string &step);

/// The job's state, or the status of the answer as text.
std::string stateOfJob(const std::string &frontend, const std::string &id);

/// Cancels the job. Returns the status.
int cancelJob(Record &record, const std::string &frontend, const std::string &id);

/// A job id of 16 hexadecimal digits.
std::string jobId(int number);

} // namespace cranberryreel::review
