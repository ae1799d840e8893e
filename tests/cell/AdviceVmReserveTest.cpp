#include "cell/AdviceVmReserve.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

using namespace cranberryreel;
using cell::AdviceQueryClass;
using cell::AdviceVmReserve;
using std::chrono::milliseconds;

namespace
{

/// VMs that serve one query at a time, and one caller per class that always wants another answer.
struct Contention {
    std::array<milliseconds, 2> durations{milliseconds(18), milliseconds(500)}; ///< By class: quick, slow.
    std::array<std::size_t, 2> callers{1, 1}; ///< Queries of each class wanted at any time.
    bool slowFirst = false;

    std::array<int, 2> sent{};
    std::array<milliseconds, 2> longestWait{};

    void play(std::size_t vms, milliseconds time)
    {
        struct Query {
            milliseconds endsAt;
            std::size_t kind;
        };
        AdviceVmReserve reserve;
        std::vector<Query> pending;
        std::array<std::optional<milliseconds>, 2> waitsSince;
        for (milliseconds at{0}; at < time; at += milliseconds(1)) {
            pending.erase(std::remove_if(pending.begin(), pending.end(), [at](const Query &each) { return each.endsAt <= at; }), pending.end());
            for (const std::size_t kind : this->slowFirst ? std::array<std::size_t, 2>{1, 0} : std::array<std::size_t, 2>{0, 1}) {
                const auto queryClass = kind == 0 ? AdviceQueryClass::Quick : AdviceQueryClass::Slow;
                auto busy = static_cast<std::size_t>(std::count_if(pending.begin(), pending.end(), [kind](const Query &each) { return each.kind == kind; }));
                for (; busy < this->callers[kind]; ++busy) {
                    const base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1) + at;
                    if (!reserve.admit(queryClass, vms - pending.size(), vms, now)) {
                        waitsSince[kind] = waitsSince[kind].value_or(at);
                        this->longestWait[kind] = std::max(this->longestWait[kind], at - *waitsSince[kind]);
                        break;
                    }
                    pending.push_back({at + this->durations[kind], kind});
                    ++this->sent[kind];
                    waitsSince[kind].reset();
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdviceVmReserveTest)

BOOST_AUTO_TEST_CASE(slowQueriesLeaveFourVmsFreeWhereThereAreMore)
{
    const base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1);
    AdviceVmReserve reserve;
    BOOST_TEST(reserve.admit(AdviceQueryClass::Slow, 5, 12, now));
    BOOST_TEST(!reserve.admit(AdviceQueryClass::Slow, 4, 12, now));
    BOOST_TEST(reserve.admit(AdviceQueryClass::Quick, 1, 12, now));
    BOOST_TEST(!AdviceVmReserve().admit(AdviceQueryClass::Prefetch, 8, 24, now));
    BOOST_TEST(AdviceVmReserve().admit(AdviceQueryClass::Prefetch, 9, 24, now));
}

/// Failure: the reserve was as large as a small deployment, so slow queries were never sent there.
BOOST_AUTO_TEST_CASE(slowAndQuickQueriesAreBothSentHoweverFewVmsThereAre)
{
    for (const std::size_t vms : {1, 2, 3, 4, 5, 12}) {
        for (const bool slowFirst : {false, true}) {
            Contention contention;
            contention.slowFirst = slowFirst;
            contention.play(vms, std::chrono::seconds(20));
            BOOST_TEST_CONTEXT("VMs: " << vms << ", slow ones first: " << slowFirst)
            {
                BOOST_TEST(contention.sent[0] >= 20);
                BOOST_TEST(contention.sent[1] >= 12);
                BOOST_TEST((contention.longestWait[0] <= (vms == 1 ? milliseconds(500) : milliseconds(18))));
            }
        }
    }
}

/// Both sides of the reserve where each class alone could occupy all VMs.
BOOST_AUTO_TEST_CASE(neitherClassStarvesTheOther)
{
    for (const std::size_t vms : {1, 2, 4, 12}) {
        Contention contention;
        contention.callers = {vms, vms};
        contention.play(vms, std::chrono::seconds(20));
        BOOST_TEST_CONTEXT("VMs: " << vms)
        {
            BOOST_TEST(contention.sent[1] >= 12);
            BOOST_TEST(contention.sent[0] >= 300 * static_cast<int>(vms));
            BOOST_TEST((contention.longestWait[0] <= milliseconds(500)));
        }
    }
}

/// A caller that gave up holds nothing back.
BOOST_AUTO_TEST_CASE(aRefusedQueryThatIsNotRepeatedIsForgotten)
{
    const base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1);
    AdviceVmReserve reserve;
    BOOST_TEST(!reserve.admit(AdviceQueryClass::Quick, 0, 1, now));
    BOOST_TEST(!reserve.admit(AdviceQueryClass::Slow, 1, 1, now + milliseconds(100)));
    BOOST_TEST(reserve.admit(AdviceQueryClass::Slow, 1, 1, now + milliseconds(700)));
}

BOOST_AUTO_TEST_SUITE_END()
