#pragma once

#include <boost/optional.hpp>
#include <boost/spirit/home/x3/support/ast/position_tagged.hpp>
#include <boost/spirit/home/x3/support/ast/variant.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

using Milliseconds = std::chrono::milliseconds;

enum class PlaceKind {
    Named, ///< One VM, upstream or alias.
    Zone,
    Leader, ///< The VM that leads a zone.
    Follower, ///< One VM of a zone that is not its leader.
    Rest, ///< All VMs and upstreams except those on the other side of the statement.
    EveryVm,
    EveryUpstream,
};

/// One or several processes of the cluster.
struct Place {
    PlaceKind kind = PlaceKind::Named;
    std::string name;
};

struct Member {
    std::string vm;
    bool hasDisk = false;
};

/// zone z1: z1a disk, z1b
struct ZoneStep {
    std::string zone;
    std::vector<Member> members;
};

/// upstream u1 in z1 slots 4
struct UpstreamStep {
    std::string name;
    std::string zone;
    boost::optional<unsigned> slots;
};

/// bring up
struct BringUpStep {
    std::string phrase;
};

enum class Action {
    Start,
    Kill,
    Freeze,
    Thaw,
    Stop,
    Restart,
    SnapshotDisk,
    WipeDisk,
    RollBackDisk,
    Leave,
    Silence,
    FailAll,
    Recover,
};

/// kill leader of zone z1
struct ActionStep {
    Action action = Action::Start;
    Place place;
};

enum class LinkAction {
    Cut,
    CutOneWay,
    Blackhole,
    Heal,
};

/// cut zone z1 from the rest
struct LinkStep {
    LinkAction action = LinkAction::Cut;
    Place left;
    Place right;
};

/// let old = leader of zone z1
struct LetStep {
    std::string alias;
    Place place;
};

/// note epoch of zone z1
struct NoteEpochStep {
    std::string zone;
};

/// Options of a submitted request or job.
struct WorkOptions {
    boost::optional<std::string> kind; ///< request, batch, gang or service.
    boost::optional<unsigned> tasks;
    boost::optional<Milliseconds> running;
    boost::optional<Milliseconds> deadline;
    boost::optional<std::string> keyZone; ///< Zone whose group stores the idempotency key.
    bool once = false; ///< Not repeatable.
};

/// submit quote at z1a count 10 once
struct SubmitStep {
    std::string name;
    Place at;
    boost::optional<unsigned> count;
    WorkOptions options;
};

/// load stream at zone z1 every 20 ms once
struct LoadStep {
    std::string name;
    Place at;
    Milliseconds every{0};
    WorkOptions options;
};

/// end load stream
struct EndLoadStep {
    std::string name;
};

/// resend quote at z2a
struct ResendStep {
    std::string name;
    Place at;
};

/// cancel wave at z1a
struct CancelStep {
    std::string name;
    Place at;
};

/// race 8 operators at every vm
struct RaceStep {
    unsigned operators = 0;
    Place at;
};

/// settle: ends all loads and asks again for every missing answer.
struct SettleStep {
    std::string phrase;
};

/// wait 3 s
struct WaitStep {
    Milliseconds time{0};
};

/// every vm is ready
struct ReadyCondition {
    Place place;
};

/// leader of zone z1 is not old
struct LeaderCondition {
    std::string zone;
    bool negated = false; ///< "is not" instead of "is".
    std::string name;
};

/// epoch of zone z1 is unchanged
struct EpochCondition {
    std::string zone;
};

/// zone z1 places work at z1a
struct PlacesCondition {
    std::string zone;
    Place at;
};

/// stream is done or not_run
struct StateCondition {
    std::string name;
    std::vector<std::string> states;
};

/// stream started 1 times
struct StartedCondition {
    std::string name;
    unsigned times = 0;
};

/// stream lost no answer
struct NoLossCondition {
    std::string name;
};

/// no start at u1 for 3 s
struct NoStartCondition {
    Place at;
    Milliseconds time{0};
};

/// z1a exited with 0
struct ExitCondition {
    std::string name;
    unsigned status = 0;
};

/// one revision at every vm
struct RevisionCondition {
    Place at;
};

/// one winner
struct WinnerCondition {
    std::string phrase;
};

using Condition = boost::spirit::x3::variant<ReadyCondition,
                                             LeaderCondition,
                                             EpochCondition,
                                             PlacesCondition,
                                             StateCondition,
                                             StartedCondition,
                                             NoLossCondition,
                                             NoStartCondition,
                                             ExitCondition,
                                             RevisionCondition,
                                             WinnerCondition>;

/// within 4 s expect zone z1 places work at z1b
struct ExpectStep {
    boost::optional<Milliseconds> within;
    Condition condition;
};

using Step = boost::spirit::x3::variant<ZoneStep,
                                        UpstreamStep,
                                        BringUpStep,
                                        ActionStep,
                                        LinkStep,
                                        LetStep,
                                        NoteEpochStep,
                                        SubmitStep,
                                        LoadStep,
                                        EndLoadStep,
                                        ResendStep,
                                        CancelStep,
                                        RaceStep,
                                        SettleStep,
                                        WaitStep,
                                        ExpectStep>;

/// One statement and its line number.
struct Line {
    unsigned number = 0;
    std::string text;
    Step step;
};

/// A parsed scenario. Immutable; owned by the test that runs it.
struct Script {
    std::string name;
    std::vector<Line> lines;
};

} // namespace cranberryreel::scenario
