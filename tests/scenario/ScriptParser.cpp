#include "scenario/ScriptParser.h"

#include "cranberryreel/base/Error.h"

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <fmt/format.h>

BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::Member, vm, hasDisk)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::Place, kind, name)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::ZoneStep, zone, members)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::UpstreamStep, name, zone, slots)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::ActionStep, action, place)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::LinkStep, action, left, right)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::LetStep, alias, place)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::WorkOptions, kind, tasks, running, deadline, keyZone, once)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::SubmitStep, name, at, count, options)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::LoadStep, name, at, every, options)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::ResendStep, name, at)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::CancelStep, name, at)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::RaceStep, operators, at)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::LeaderCondition, zone, negated, name)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::PlacesCondition, zone, at)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::StateCondition, name, states)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::StartedCondition, name, times)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::NoStartCondition, at, time)
BOOST_FUSION_ADAPT_STRUCT(cranberryreel::scenario::ExitCondition, name, status)

namespace cranberryreel::scenario
{

namespace
{

namespace x3 = boost::spirit::x3;
using x3::alnum;
using x3::char_;
using x3::lexeme;
using x3::matches;
using x3::uint_;

/// Matches a whole word: "at" does not match the beginning of "attic".
auto word(const char *text)
{
    return lexeme[x3::lit(text) >> !(alnum | '_' | '-')];
}

struct UnitTable : x3::symbols<unsigned> {
    UnitTable()
    {
        this->add("ms", 1)("s", 1000);
    }
} const Unit;

struct ActionTable : x3::symbols<Action> {
    ActionTable()
    {
        this->add("start", Action::Start)("kill", Action::Kill)("freeze", Action::Freeze)("thaw", Action::Thaw)("stop", Action::Stop);
        this->add("restart", Action::Restart)("snapshot disk of", Action::SnapshotDisk)("wipe disk of", Action::WipeDisk);
        this->add("roll back disk of", Action::RollBackDisk)("leave", Action::Leave)("silence", Action::Silence);
        this->add("fail all at", Action::FailAll)("recover", Action::Recover);
    }
} const ActionWord;

struct LinkActionTable : x3::symbols<LinkAction> {
    LinkActionTable()
    {
        this->add("cut", LinkAction::Cut)("cut one way", LinkAction::CutOneWay)("blackhole", LinkAction::Blackhole)("heal", LinkAction::Heal);
    }
} const LinkWord;

// Separate rules keep the types of the statement parsers small. Boost.Spirit finds the definition of a rule NAME as NAME_def.
// NOLINTBEGIN(readability-identifier-naming)
const x3::rule<struct NameRule, std::string> name = "name";
const auto name_def = lexeme[x3::lower >> *(char_('-') | char_('_') | alnum)];

const auto toMilliseconds = [](auto &context) {
    const auto &amount = x3::_attr(context);
    x3::_val(context) = Milliseconds(boost::fusion::at_c<0>(amount) * boost::fusion::at_c<1>(amount));
};
const x3::rule<struct DurationRule, Milliseconds> duration = "duration";
const auto duration_def = (uint_ >> Unit)[toMilliseconds];

const x3::rule<struct PlaceRule, Place> place = "place";
const auto place_def = (word("leader") >> word("of") >> word("zone") >> x3::attr(PlaceKind::Leader) >> name)
    | (word("follower") >> word("of") >> word("zone") >> x3::attr(PlaceKind::Follower) >> name) | (word("zone") >> x3::attr(PlaceKind::Zone) >> name)
    | (word("the") >> word("rest") >> x3::attr(PlaceKind::Rest) >> x3::attr(std::string()))
    | (word("every") >> word("vm") >> x3::attr(PlaceKind::EveryVm) >> x3::attr(std::string()))
    | (word("every") >> word("upstream") >> x3::attr(PlaceKind::EveryUpstream) >> x3::attr(std::string())) | (x3::attr(PlaceKind::Named) >> name);

const x3::rule<struct MemberRule, Member> member = "member";
const auto member_def = name >> matches[word("disk")];

const x3::rule<struct WorkRule, WorkOptions> work = "work";
const auto work_def = -(word("as") >> name) >> -(word("tasks") >> uint_) >> -(word("running") >> duration) >> -(word("deadline") >> duration)
    >> -(word("kept") >> word("by") >> name) >> matches[word("once")];

BOOST_SPIRIT_DEFINE(name, duration, place, member, work)
// NOLINTEND(readability-identifier-naming)

/// Parses the whole text as one kind of statement or condition; returns false when it does not match.
template<typename Statement, typename Output, typename Parser>
bool parseWhole(const std::string &text, const Parser &parser, Output &output)
{
    Statement statement{};
    auto next = text.begin();
    if (!x3::phrase_parse(next, text.end(), parser, x3::blank, statement) || next != text.end()) {
        return false;
    }
    output = std::move(statement);
    return true;
}

/// Like parseWhole(), for a kind with a single field.
template<typename Statement, auto Field, typename Output, typename Parser>
bool parseSingleField(const std::string &text, const Parser &parser, Output &output)
{
    Statement statement{};
    auto next = text.begin();
    if (!x3::phrase_parse(next, text.end(), parser, x3::blank, statement.*Field) || next != text.end()) {
        return false;
    }
    output = std::move(statement);
    return true;
}

using ConditionParser = bool (*)(const std::string &, Condition &);

const std::vector<ConditionParser> ConditionParsers{
    [](const std::string &text, Condition &output) {
        const auto isNot = matches[word("not")];
        return parseWhole<LeaderCondition>(text, word("leader") >> word("of") >> word("zone") >> name >> word("is") >> isNot >> name, output);
    },
    [](const std::string &text, Condition &output) {
        const auto parser = word("epoch") >> word("of") >> word("zone") >> name >> word("is") >> word("unchanged");
        return parseSingleField<EpochCondition, &EpochCondition::zone>(text, parser, output);
    },
    [](const std::string &text, Condition &output) {
        return parseWhole<PlacesCondition>(text, word("zone") >> name >> word("places") >> word("work") >> word("at") >> place, output);
    },
    [](const std::string &text, Condition &output) {
        return parseWhole<NoStartCondition>(text, word("no") >> word("start") >> word("at") >> place >> word("for") >> duration, output);
    },
    [](const std::string &text, Condition &output) {
        return parseSingleField<RevisionCondition, &RevisionCondition::at>(text, word("one") >> word("revision") >> word("at") >> place, output);
    },
    [](const std::string &text, Condition &output) {
        return parseSingleField<WinnerCondition, &WinnerCondition::phrase>(text, word("one") >> x3::string("winner"), output);
    },
    [](const std::string &text, Condition &output) {
        return parseSingleField<NoLossCondition, &NoLossCondition::name>(text, name >> word("lost") >> word("no") >> word("answer"), output);
    },
    [](const std::string &text, Condition &output) { return parseWhole<ExitCondition>(text, name >> word("exited") >> word("with") >> uint_, output); },
    [](const std::string &text, Condition &output) { return parseWhole<StartedCondition>(text, name >> word("started") >> uint_ >> word("times"), output); },
    [](const std::string &text, Condition &output) {
        return parseSingleField<ReadyCondition, &ReadyCondition::place>(text, place >> word("is") >> word("ready"), output);
    },
    [](const std::string &text, Condition &output) { return parseWhole<StateCondition>(text, name >> word("is") >> (name % word("or")), output); },
};

bool parseExpect(const std::string &text, Step &output)
{
    ExpectStep expect;
    auto next = text.begin();
    if (!x3::phrase_parse(next, text.end(), -(word("within") >> duration) >> word("expect"), x3::blank, expect.within)) {
        return false;
    }
    const std::string rest(next, text.end());
    for (const ConditionParser read : ConditionParsers) {
        if (read(rest, expect.condition)) {
            output = expect;
            return true;
        }
    }
    return false;
}

using StepParser = bool (*)(const std::string &, Step &);

const std::vector<StepParser> StepParsers{
    [](const std::string &text, Step &output) { return parseWhole<ZoneStep>(text, word("zone") >> name >> ':' >> (member % ','), output); },
    [](const std::string &text, Step &output) {
        return parseWhole<UpstreamStep>(text, word("upstream") >> name >> word("in") >> name >> -(word("slots") >> uint_), output);
    },
    [](const std::string &text, Step &output) { return parseSingleField<BringUpStep, &BringUpStep::phrase>(text, word("bring") >> x3::string("up"), output); },
    [](const std::string &text, Step &output) {
        return parseWhole<LinkStep>(text, lexeme[LinkWord >> &x3::blank] >> place >> (word("from") | word("to")) >> place, output);
    },
    [](const std::string &text, Step &output) { return parseWhole<LetStep>(text, word("let") >> name >> '=' >> place, output); },
    [](const std::string &text, Step &output) {
        return parseSingleField<NoteEpochStep, &NoteEpochStep::zone>(text, word("note") >> word("epoch") >> word("of") >> word("zone") >> name, output);
    },
    [](const std::string &text, Step &output) {
        return parseWhole<SubmitStep>(text, word("submit") >> name >> word("at") >> place >> -(word("count") >> uint_) >> work, output);
    },
    [](const std::string &text, Step &output) {
        return parseWhole<LoadStep>(text, word("load") >> name >> word("at") >> place >> word("every") >> duration >> work, output);
    },
    [](const std::string &text, Step &output) { return parseSingleField<EndLoadStep, &EndLoadStep::name>(text, word("end") >> word("load") >> name, output); },
    [](const std::string &text, Step &output) { return parseWhole<ResendStep>(text, word("resend") >> name >> word("at") >> place, output); },
    [](const std::string &text, Step &output) { return parseWhole<CancelStep>(text, word("cancel") >> name >> word("at") >> place, output); },
    [](const std::string &text, Step &output) { return parseWhole<RaceStep>(text, word("race") >> uint_ >> word("operators") >> word("at") >> place, output); },
    [](const std::string &text, Step &output) { return parseSingleField<SettleStep, &SettleStep::phrase>(text, x3::string("settle"), output); },
    [](const std::string &text, Step &output) { return parseSingleField<WaitStep, &WaitStep::time>(text, word("wait") >> duration, output); },
    [](const std::string &text, Step &output) { return parseWhole<ActionStep>(text, lexeme[ActionWord >> &x3::blank] >> place, output); },
    parseExpect,
};

Step parseStep(const std::string &text, const std::string &where)
{
    Step parsed;
    for (const StepParser read : StepParsers) {
        if (read(text, parsed)) {
            return parsed;
        }
    }
    throw base::Error(base::ResultCode::UsageError, fmt::format("{}: '{}' is not a statement of the scenario language.", where, text));
}

} // namespace

Script parseScript(const std::string &scriptName, const std::string &text)
{
    Script script{scriptName, {}};
    unsigned number = 0;
    for (const absl::string_view raw : absl::StrSplit(text, '\n')) {
        ++number;
        const std::string statement(absl::StripAsciiWhitespace(raw.substr(0, raw.find('#'))));
        if (!statement.empty()) {
            script.lines.push_back({number, statement, parseStep(statement, fmt::format("{}:{}", scriptName, number))});
        }
    }
    return script;
}

} // namespace cranberryreel::scenario
