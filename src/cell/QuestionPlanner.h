#pragma once

#include "cell/PlacementRules.h"
#include "cell/PlanInput.h"
#include "cell/Preemptor.h"
#include "cell/ServicePool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// How soon the answer to a question can be used.
enum class Need : std::uint8_t {
    Now,
    Ahead ///< Others wait for the room that there is; what comes free may serve it.
};

/// A question for the advice service.
struct AdviceWish {
    StepKey step;
    std::string queue;
    bool quick = false; ///< Its answer takes tens of milliseconds and is waited for by callers.
    Need need = Need::Now;
    std::vector<std::uint64_t> upstreams; ///< Best ones first.
    std::uint32_t tasks = 0; ///< So many are expected to start with its tickets.
    std::chrono::milliseconds expected{0}; ///< How long the service takes for it.
    std::chrono::milliseconds valid{0}; ///< How long its tickets can be used.
};

/// Decides what to ask the advice service, which is scarce: it takes one call of each VM at a time, for up to a second, and tickets age within two.
/// Load pattern: a burst leaves hundreds of steps waiting for the same room. Asked about all together, and about the emptiest upstreams first, nearly all
/// tickets run out unused, are asked for again, and hold up those that could start. So a step names as many upstreams as its tasks are likely to need, other
/// ones than the steps before it, and questions for room that earlier steps wait for come last. Pure; made anew for each plan.
class QuestionPlanner
{
public:
    QuestionPlanner(const PlanInput &planInput, const PlacementRules &placementRules, Preemptor &roomMaker);

    /// Sets the room apart that the answer on its way is about; nothing when there is none.
    void pledgeForAnswer(const ReadyStep &ready, ServicePool &pool, RoomTable &rooms) const;

    /// The question for tasks that found no place; nothing when an answer would not help now. `claimed`: the upstreams that a gang is to have.
    std::optional<AdviceWish> question(const ReadyStep &ready, std::uint32_t unplaced, ServicePool &pool, const std::vector<Room *> &claimed) const;

private:
    /// Upstreams with room for the step, by what is known of the service's mind.
    struct Sorted {
        std::vector<Room *> stale; ///< Allowed, but without a usable ticket.
        std::vector<Room *> full; ///< Allowed without a usable ticket, or unknown, and without room.
        std::vector<Room *> unknown;
        std::uint32_t fittingTicketed = 0; ///< Tasks that fit where tickets can be used.
        std::size_t allowed = 0; ///< Upstreams, full ones as well.
    };

    /// The room on an upstream that the tasks asked for may count on.
    using RoomFor = std::function<Capacity(const Room &)>;

    std::vector<Room *> chooseRooms(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const RoomFor &roomFor) const;
    std::vector<Room *> chooseForGang(const ReadyStep &ready, const ServicePool &pool, const std::vector<Room *> &claimed) const;
    Sorted sort(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const RoomFor &roomFor) const;
    void addFull(const ReadyStep &ready, const Sorted &sorted, std::vector<Room *> &chosen) const;
    void addUnknown(const ReadyStep &ready, std::uint32_t tasks, const Sorted &sorted, const RoomFor &roomFor, std::vector<Room *> &chosen) const;
    AdviceWish wishFor(const ReadyStep &ready, std::uint32_t tasks, const std::vector<Room *> &chosen, Need need) const;

    const PlanInput &input;
    const PlacementRules &rules;
    Preemptor &preemptor;
};

} // namespace cranberryreel::cell
