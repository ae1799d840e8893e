#pragma once

#include "scenario/Callers.h"
#include "scenario/Cluster.h"
#include "scenario/Oracle.h"
#include "scenario/Race.h"
#include "scenario/RevisionWatch.h"
#include "scenario/Script.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// Runs one scenario step by step against real processes, and checks the oracles at the end. Owned by its test; used by one thread.
class Runner
{
public:
    /// Receives one sentence for each expectation that was met, with the time it took, and for each outcome of the work.
    using NoteCallback = std::function<void(const std::string &)>;

    Runner(const Script &scenarioScript, NoteCallback noteCallback);

    /// Returns one sentence for each violation, or for the first unmet expectation, which ends the run; the output of the processes follows.
    std::vector<std::string> run();

    /// Whether a condition holds now.
    bool holds(const Condition &condition);

private:
    friend struct StepVisitor;
    friend struct ConditionVisitor;

    void runStep(const ZoneStep &step);
    void runStep(const UpstreamStep &step);
    void runStep(const BringUpStep &step);
    void runStep(const ActionStep &step);
    void runStep(const LinkStep &step);
    void runStep(const LetStep &step);
    void runStep(const NoteEpochStep &step);
    void runStep(const SubmitStep &step);
    void runStep(const LoadStep &step);
    void runStep(const EndLoadStep &step);
    void runStep(const ResendStep &step);
    void runStep(const CancelStep &step);
    void runStep(const RaceStep &step);
    void runStep(const SettleStep &step);
    void runStep(const WaitStep &step);
    void runStep(const ExpectStep &step);

    bool holds(const ReadyCondition &condition);
    bool holds(const LeaderCondition &condition);
    bool holds(const EpochCondition &condition);
    bool holds(const PlacesCondition &condition);
    bool holds(const StateCondition &condition);
    bool holds(const StartedCondition &condition);
    bool holds(const NoLossCondition &condition);
    bool holds(const NoStartCondition &condition);
    bool holds(const ExitCondition &condition);
    bool holds(const RevisionCondition &condition);
    bool holds(const WinnerCondition &condition);

    void start(const std::string &name);
    void restart(const std::string &name);
    void stop(const std::string &name);
    void freeze(const std::string &name);
    void thaw(const std::string &name);
    void wipeDisk(const std::string &name);
    void rollBackDisk(const std::string &name);
    void leave(const std::string &name);
    void silence(const std::string &name);
    void failAll(const std::string &name);
    void recover(const std::string &name);
    void kill(const std::string &name);
    void snapshotDisk(const std::string &name);

    void ensurePrepared();
    bool tryLoadRegister();
    bool everyUpstreamAccepts();
    bool everyZonePlaces();
    void awaitBringUp(const char *what, const std::function<bool()> &condition);
    std::vector<std::string> namesAt(const Place &place, const std::vector<std::string> &otherSide = {});
    std::vector<std::string> vmsAt(const Place &place);
    std::string firstVmAt(const Place &place);
    std::optional<nlohmann::json> zoneRow(const std::string &zone);
    std::vector<std::string> liveVms();
    std::vector<std::string> checkOracles();
    void noteOutcomes(const std::vector<Work> &works);

    const Script script;
    NoteCallback note;
    Cluster cluster;
    Callers callers;
    std::unique_ptr<RevisionWatch> watch;
    std::unique_ptr<Race> race;
    std::map<std::string, std::string> aliases;
    std::map<std::string, std::uint64_t> epochs; ///< Recorded by `note epoch`, by zone.
    std::map<std::string, VmCapacity> capacities;
    std::string failure; ///< Why the run ended early; empty while all expectations are met.
    bool prepared = false;
};

} // namespace cranberryreel::scenario
