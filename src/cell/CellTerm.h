#pragma once

#include "cell/AdviceCache.h"
#include "cell/CallDesk.h"
#include "cell/FleetKeeper.h"
#include "cell/JobWatch.h"
#include "cell/Planner.h"
#include "cell/RunKeeper.h"
#include "cell/TermContext.h"
#include "replication/Group.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// One term of leadership of the cell's scheduler: it plans, puts what it decides into the log, and acts on it once the group has it. All of it goes when
/// the term ends. Used by the scheduler's thread only. Owned by the CellScheduler.
class CellTerm
{
public:
    CellTerm(const CellOptions &cellOptions,
             std::uint64_t term,
             CellStore &store,
             UpstreamCalls &calls,
             AdviceDispatcher &advice,
             replication::Group &cellGroup,
             std::function<void(std::function<void()>)> post);
    CellTerm(const CellTerm &) = delete;
    CellTerm &operator=(const CellTerm &) = delete;

    /// Tells those who wait that what was not proposed will not be done, and that the fate of what was is unknown.
    ~CellTerm();

    void call(wire::CallT call, const Reply &reply);

    /// Several times a second: what time alone makes due.
    void tick();

private:
    void pump();
    void planStarts(base::SteadyTime now);
    RunView viewOf(const RunKey &key);
    void giveWay(const std::vector<RunKey> &stops);
    void tellLoad(const std::vector<ServiceLoad> &loads, base::SteadyTime now);
    bool askInOrder(std::vector<AdviceQuery> wishes);
    bool ask(const AdviceQuery &wish);
    void noteUse(const std::vector<PlannedStart> &starts);
    void advised(const AdviceQuery &wish, const std::map<std::string, std::uint64_t> &asked, const AdviceResult &result);
    void propose();
    void proposed(const wire::CommandT &command, base::ResultCode code);
    void noteCourses(const wire::CommandT &command);
    void addDueOccurrences();
    void addForgotten();

    TermContext context;
    replication::Group &group;
    AdviceCache adviceCache;
    std::map<std::string, std::size_t> questionsUnderWay; ///< By queue.
    RunKeeper runs;
    FleetKeeper fleet;
    CallDesk desk;
    JobWatch watch;
    std::vector<Committed> underWay; ///< They wait for the proposed batch.
    bool proposing = false;
    bool pumpQueued = false;
    base::SteadyTime nextPlan{}; ///< Set after a plan that decided nothing.
    base::SteadyTime nextCleanUp{};
    base::SteadyTime nextReconcile{};
    base::SteadyTime nextLoadLine{};
};

/// Unix time in milliseconds: for due times and retention only.
std::int64_t unixMilliseconds();

} // namespace cranberryreel::cell
