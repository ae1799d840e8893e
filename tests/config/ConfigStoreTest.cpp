#include "config/ConfigStore.h"

#include "ConfigStoreFaults.h"
#include "ConfigStoreModel.h"
#include "config/WireCodec.h"
#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <sstream>

using namespace cranberryreel;
using config::Change;
using config::ChangePart;

namespace
{

using Command = rc::state::Command<ConfigStoreModel, ConfigStoreSut>;

/// Compares the texts and revision of a store with the model's, read from the snapshot, which is all that members exchange.
void requireSameState(const ConfigStoreModel &model, const replication::StateMachine &machine)
{
    const auto snapshot = config::decode<config::wire::SnapshotT>(machine.snapshot());
    RC_ASSERT(snapshot != nullptr);
    RC_ASSERT(snapshot->revision == model.revision);
    RC_ASSERT(snapshot->register_text == model.registerText);
    RC_ASSERT(snapshot->rules_text == model.rulesText);
}

struct Send : Command {
    Change change;

    explicit Send(const ConfigStoreModel &model)
    {
        const bool resend = !model.sent.empty() && *rc::gen::inRange(0, 3) == 0;
        if (resend) {
            this->change = *rc::gen::elementOf(model.sent);
            if (*rc::gen::inRange(0, 4) == 0) {
                this->change.text += "-other";
            }
            return;
        }
        const std::uint64_t back = *rc::gen::weightedElement<std::uint64_t>({{6, 0}, {2, 1}, {1, 2}});
        this->change = {"id-" + std::to_string(model.sent.size()),
                        *rc::gen::inRange(0, 8) == 0 ? model.revision + 1 : model.revision - std::min(model.revision, back),
                        *rc::gen::element(ChangePart::Register, ChangePart::Rules),
                        "text-" + std::to_string(*rc::gen::inRange(0, 1000))};
    }

    void apply(ConfigStoreModel &model) const override
    {
        model.apply(this->change);
    }

    void run(const ConfigStoreModel &model, ConfigStoreSut &sut) const override
    {
        ConfigStoreModel after = model;
        const auto expected = after.apply(this->change);
        const auto got = sut.apply(this->change, model.textsAtProposal(this->change));
        RC_ASSERT(got.code == expected.code);
        RC_ASSERT(got.revision == expected.revision);
        requireSameState(after, *sut.machine);
    }

    void show(std::ostream &out) const override
    {
        out << "send " << this->change.id << " from " << this->change.fromRevision << " " << this->change.text;
    }
};

struct Compact : Command {
    void run(const ConfigStoreModel & /*model*/, ConfigStoreSut &sut) const override
    {
        sut.compact();
    }

    void show(std::ostream &out) const override
    {
        out << "compact";
    }
};

struct Restart : Command {
    void run(const ConfigStoreModel &model, ConfigStoreSut &sut) const override
    {
        sut.restart();
        requireSameState(model, *sut.machine);
    }

    void show(std::ostream &out) const override
    {
        out << "restart";
    }
};

void fuzz(const ConfigStoreSut::Make &make)
{
    ConfigStoreSut sut(make);
    rc::state::check(ConfigStoreModel(), sut, rc::state::gen::execOneOfWithArgs<Send, Send, Compact, Restart>());
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigStoreTest)

BOOST_AUTO_TEST_CASE(matchesTheModel)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = 1000;
    BOOST_TEST_MESSAGE("seed " << params.seed);
    const auto result = rc::detail::checkTestable([] { fuzz([] { return std::make_unique<config::ConfigStore>(); }); }, rc::detail::TestMetadata(), params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    BOOST_TEST(result.is<rc::detail::SuccessResult>(), message.str());
}

BOOST_AUTO_TEST_CASE(detectsEveryInjectedFault)
{
    for (const FaultyConfigStore::Fault &fault : configStoreFaults()) {
        const rc::detail::TestResult result =
            rc::detail::checkTestable([&] { fuzz([&] { return std::make_unique<FaultyConfigStore>(fault); }); }, rc::detail::TestMetadata());
        BOOST_TEST(result.is<rc::detail::FailureResult>(), "not caught: " << fault.name);
    }
}

BOOST_AUTO_TEST_CASE(evictedAnswersConflictByRevision)
{
    config::ConfigStore store({2});
    std::vector<Change> changes;
    for (std::uint64_t number = 0; number < 4; number++) {
        changes.push_back({"id-" + std::to_string(number), number, ChangePart::Rules, "text"});
        store.apply(number + 1, config::ConfigStore::encodeCommand(changes.back(), store.texts()));
    }
    BOOST_TEST(!store.findReply(changes[0]).has_value());
    BOOST_TEST(store.findReply(changes[3]).has_value());
    const auto late = config::ConfigStore::decodeReply(store.apply(5, config::ConfigStore::encodeCommand(changes[0], store.texts())));
    BOOST_TEST((late.code == base::ResultCode::RevisionConflict));
    BOOST_TEST(store.texts().revision == 4U);
}

BOOST_AUTO_TEST_CASE(damagedSnapshotsAndCommandsAreRefused)
{
    config::ConfigStore store;
    store.apply(1, config::ConfigStore::encodeCommand({"a", 0, ChangePart::Register, "x"}, store.texts()));
    const std::string whole = store.snapshot();
    for (std::size_t length = 0; length < whole.size(); length++) {
        config::ConfigStore other;
        try {
            other.restore(whole.substr(0, length));
        } catch (const base::Error &error) {
            BOOST_TEST((error.code() == base::ResultCode::SnapshotCorrupt));
        }
    }
    BOOST_TEST((config::ConfigStore::decodeReply(store.apply(2, "nonsense")).code == base::ResultCode::Internal));
    BOOST_TEST(store.texts().revision == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
