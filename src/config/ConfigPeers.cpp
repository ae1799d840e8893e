#include "config/ConfigPeers.h"

#include "config/TextDelta.h"
#include "config/WireCodec.h"

namespace cranberryreel::config
{

namespace
{

template<typename Body>
std::string encodeCall(Body body)
{
    wire::CallT call;
    call.body.Set(std::move(body));
    return encode(call);
}

std::optional<std::string> applyDelta(const std::string &base, const std::unique_ptr<wire::DeltaT> &delta)
{
    return delta ? TextDelta{delta->prefix_bytes, delta->suffix_bytes, delta->middle}.applyTo(base) : std::nullopt;
}

std::optional<RevisionTexts> readTexts(const wire::FetchAnswerT &answer, const RevisionTexts &known)
{
    if (!answer.newer || (answer.base_revision != 0 && answer.base_revision != known.revision)) {
        return std::nullopt;
    }
    const RevisionTexts base = answer.base_revision == 0 ? RevisionTexts{} : known;
    const auto registerText = applyDelta(base.registerText, answer.register_delta);
    const auto rulesText = applyDelta(base.rulesText, answer.rules_delta);
    if (!registerText || !rulesText) {
        return std::nullopt;
    }
    return RevisionTexts{answer.revision, *registerText, *rulesText};
}

FetchReply toFetchReply(const link::CallResult &result, const RevisionTexts &known)
{
    const auto answer = result.code == base::ResultCode::Ok ? decode<wire::FetchAnswerT>(result.payload) : nullptr;
    if (!answer) {
        return {};
    }
    return {static_cast<base::ResultCode>(answer->code), answer->ready, answer->revision, readTexts(*answer, known)};
}

MemberReply toMemberReply(const link::CallResult &result)
{
    const auto answer = result.code == base::ResultCode::Ok ? decode<wire::ChangeAnswerT>(result.payload) : nullptr;
    if (!answer) {
        return {{base::ResultCode::LinkDown, "", 0, {}}, "", result.sent};
    }
    return {{static_cast<base::ResultCode>(answer->code), answer->reason, answer->revision, {}}, answer->leader, true};
}

} // namespace

ConfigPeers::ConfigPeers(link::LinkHub &linkHub, std::shared_ptr<base::Mailbox> mailbox, std::string vm)
    : hub(linkHub)
    , worker(std::move(mailbox))
    , ownVm(std::move(vm))
{
}

bool ConfigPeers::isUp(const std::string &vm) const
{
    return vm == this->ownVm || this->hub.isUp(vm);
}

void ConfigPeers::announce(const std::string &vm, std::uint64_t revision)
{
    wire::AnnouncementT announcement;
    announcement.revision = revision;
    this->hub.send(vm, link::Channel::Config, encode(announcement));
}

void ConfigPeers::fetch(
    const std::string &vm, const RevisionTexts &known, bool confirmed, std::chrono::milliseconds limit, std::function<void(FetchReply)> done)
{
    wire::FetchCallT body;
    body.have_revision = known.revision;
    body.confirmed = confirmed;
    this->call(vm, encodeCall(body), limit, [known, done = std::move(done)](const link::CallResult &result) { done(toFetchReply(result, known)); });
}

void ConfigPeers::change(const std::string &vm, const Change &change, std::chrono::milliseconds limit, std::function<void(MemberReply)> done)
{
    wire::ChangeCallT body;
    body.id = change.id;
    body.from_revision = change.fromRevision;
    body.part = static_cast<std::uint8_t>(change.part);
    body.text = change.text;
    this->call(vm, encodeCall(std::move(body)), limit, [done = std::move(done)](const link::CallResult &result) { done(toMemberReply(result)); });
}

void ConfigPeers::revision(const std::string &vm,
                           std::uint64_t atLeast,
                           std::chrono::milliseconds wait,
                           std::chrono::milliseconds limit,
                           std::function<void(std::optional<std::uint64_t>)> done)
{
    wire::RevisionCallT body;
    body.at_least = atLeast;
    body.wait_ms = static_cast<std::uint32_t>(wait.count());
    this->call(vm, encodeCall(body), limit, [done = std::move(done)](const link::CallResult &result) {
        const auto answer = result.code == base::ResultCode::Ok ? decode<wire::RevisionAnswerT>(result.payload) : nullptr;
        done(answer ? std::optional<std::uint64_t>(answer->revision) : std::nullopt);
    });
}

void ConfigPeers::call(const std::string &vm, std::string payload, std::chrono::milliseconds limit, std::function<void(const link::CallResult &)> done)
{
    auto onResult = [mailbox = this->worker, done = std::move(done)](link::CallResult result) {
        mailbox->post([done, result = std::move(result)] { done(result); });
    };
    this->hub.call(vm, link::Channel::Config, std::move(payload), limit, "", std::move(onResult));
}

} // namespace cranberryreel::config
