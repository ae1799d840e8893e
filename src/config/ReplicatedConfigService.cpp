#include "config/ReplicatedConfigService.h"

#include "config/TextDelta.h"
#include "config/WireCodec.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

const observe::Log &log()
{
    static const observe::Log instance("config");
    return instance;
}

std::unique_ptr<RevisionFile> revisionFileIn(const std::string &folder)
{
    return folder.empty() ? nullptr : std::make_unique<RevisionFile>(folder);
}

std::unique_ptr<wire::DeltaT> wireDelta(const std::string &base, const std::string &text)
{
    const TextDelta delta = TextDelta::between(base, text);
    auto encoded = std::make_unique<wire::DeltaT>();
    encoded->prefix_bytes = delta.prefixBytes;
    encoded->suffix_bytes = delta.suffixBytes;
    encoded->middle = delta.middle;
    return encoded;
}

std::string fetchRefusal(base::ResultCode code)
{
    wire::FetchAnswerT refused;
    refused.code = static_cast<std::int32_t>(code);
    return encode(refused);
}

std::string encodeReply(const MemberReply &reply)
{
    wire::ChangeAnswerT answer;
    answer.code = static_cast<std::int32_t>(reply.reply.code);
    answer.reason = reply.reply.reason;
    answer.revision = reply.reply.revision;
    answer.leader = reply.leader;
    return encode(answer);
}

} // namespace

ReplicatedConfigService::ReplicatedConfigService(const ConfigServiceOptions &serviceOptions, link::LinkHub &linkHub, const GroupFactory &makeGroup)
    : options(serviceOptions)
    , hub(linkHub)
    , worker(std::make_shared<base::Mailbox>())
    , active(std::make_shared<ActiveConfiguration>(worker, revisionFileIn(serviceOptions.dataFolder)))
    , peers(linkHub, worker, serviceOptions.vm)
    , exchange(options, peers, *active)
    , startCheck(options, peers, exchange, *active)
    , router(options, peers, worker)
    , survey(options, peers, exchange)
{
    const std::vector<std::string> &members = this->options.groupMembers;
    if (std::find(members.begin(), members.end(), this->options.vm) != members.end()) {
        this->createGroupMember(makeGroup);
    }
    this->registerMessageHandlers();
    this->registerCallHandler();
    this->registerMetrics();
}

ReplicatedConfigService::~ReplicatedConfigService()
{
    this->stop(std::chrono::milliseconds(0));
}

void ReplicatedConfigService::registerMetrics()
{
    observe::gauge("cranberryreel_config_revision", "Revision in force at this VM.", "", [weak = std::weak_ptr<ActiveConfiguration>(this->active)] {
        const auto alive = weak.lock();
        return alive ? static_cast<double>(alive->revision()) : 0.0;
    });
    if (this->group) {
        observe::gauge("cranberryreel_config_member_caught_up", "1 when this member of the configuration group votes.", "", [value = this->caughtUp] {
            return *value ? 1.0 : 0.0;
        });
    }
}

void ReplicatedConfigService::createGroupMember(const GroupFactory &makeGroup)
{
    this->store = std::make_unique<ConfigStore>();
    this->store->onRevision([this](const RevisionTexts &texts) {
        this->worker->post([this, texts] {
            this->active->activate(texts);
            if (this->group->status().leader) {
                this->exchange.announceToAll();
            }
        });
    });
    this->group =
        makeGroup(*this->store, [this](const std::string &toVm, std::string bytes) { this->hub.send(toVm, link::Channel::ConfigGroup, std::move(bytes)); });
    this->proposer = std::make_unique<ChangeProposer>(this->worker, *this->store, *this->group);
    this->hub.onMessage(link::Channel::ConfigGroup, [this](const std::string &fromVm, std::string bytes) { this->group->receive(fromVm, std::move(bytes)); });
}

void ReplicatedConfigService::registerMessageHandlers()
{
    this->hub.onMessage(link::Channel::Config, [this](const std::string &fromVm, const std::string &payload) {
        if (const auto announcement = decode<wire::AnnouncementT>(payload)) {
            this->worker->post([this, fromVm, revision = announcement->revision] { this->exchange.onAnnouncement(fromVm, revision); });
        }
    });
}

void ReplicatedConfigService::registerCallHandler()
{
    this->hub.onCall(link::Channel::Config,
                     [this](const std::string & /*fromVm*/, std::string payload, const std::string & /*traceparent*/, link::Responder respond) {
                         this->worker->post([this, payload = std::move(payload), respond = std::move(respond)] { this->answerCall(payload, respond); });
                     });
}

void ReplicatedConfigService::start()
{
    this->worker->start();
    if (this->group) {
        this->group->start();
    }
    this->worker->post([this] {
        this->startCheck.begin(this->active->loadFromDisk());
        this->tick();
    });
}

void ReplicatedConfigService::stop(std::chrono::milliseconds limit)
{
    if (this->group) {
        this->group->stop(limit);
    }
    this->worker->stop();
}

bool ReplicatedConfigService::isReady() const
{
    return this->startCheck.isReady();
}

std::optional<replication::GroupStatus> ReplicatedConfigService::groupStatus() const
{
    return this->group ? std::make_optional(this->group->status()) : std::nullopt;
}

std::shared_ptr<const Configuration> ReplicatedConfigService::current() const
{
    return this->active->current();
}

void ReplicatedConfigService::onChange(std::function<void(std::shared_ptr<const Configuration>)> listener)
{
    this->active->onChange(std::move(listener));
}

void ReplicatedConfigService::change(Change change, ChangeDone done)
{
    this->worker->post([this, change = std::move(change), done = std::move(done)] {
        log().info("Received change '{}' based on revision {}.", change.id, change.fromRevision);
        this->router.route(change, [this, id = change.id, done](const ChangeReply &reply) {
            log().info("Change '{}' ended with {} at revision {}.", id, base::resultName(reply.code), reply.revision);
            this->replyWhenActive(reply, done);
        });
    });
}

void ReplicatedConfigService::status(StatusDone done)
{
    this->worker->post([this, done = std::move(done)] {
        const auto limit = this->options.timings.statusLimit;
        this->survey.run(0, std::chrono::milliseconds(0), limit, done);
    });
}

void ReplicatedConfigService::replyWhenActive(const ChangeReply &reply, const ChangeDone &done)
{
    if (reply.code != base::ResultCode::Ok) {
        done(reply);
        return;
    }
    const auto wait = this->options.timings.activationWait;
    const auto limit = wait + this->options.timings.retryDelay;
    this->survey.run(reply.revision, wait, limit, [reply, done](const std::vector<VmRevision> &vms) {
        ChangeReply extended = reply;
        for (const VmRevision &row : vms) {
            if (row.reachable && row.revision >= reply.revision) {
                extended.inForceAt.push_back(row.vm);
            }
        }
        done(extended);
    });
}

void ReplicatedConfigService::tick()
{
    this->active->retryUnsaved();
    this->startCheck.step();
    this->exchange.runRound();
    *this->caughtUp = this->group && this->group->status().caughtUp;
    this->worker->postAfter(this->options.timings.exchangeInterval, [this] { this->tick(); });
}

void ReplicatedConfigService::answerCall(const std::string &payload, const link::Responder &respond)
{
    const auto call = decode<wire::CallT>(payload);
    if (!call) {
        log().warn("Received a call that cannot be decoded.");
        respond("");
        return;
    }
    if (const wire::FetchCallT *fetch = call->body.AsFetchCall()) {
        this->answerFetch(fetch->have_revision, fetch->confirmed, respond);
    } else if (const wire::RevisionCallT *revision = call->body.AsRevisionCall()) {
        this->active->notifyAtRevision(revision->at_least, std::chrono::milliseconds(revision->wait_ms), [respond](std::uint64_t now) {
            wire::RevisionAnswerT answer;
            answer.revision = now;
            respond(encode(answer));
        });
    } else if (const wire::ChangeCallT *change = call->body.AsChangeCall()) {
        this->answerChange({change->id, change->from_revision, static_cast<ChangePart>(change->part), change->text}, respond);
    } else {
        respond("");
    }
}

void ReplicatedConfigService::answerFetch(std::uint64_t knownRevision, bool confirmed, const link::Responder &respond)
{
    if (!confirmed) {
        this->answerFetchWithCurrent(knownRevision, respond);
        return;
    }
    if (!this->group) {
        respond(fetchRefusal(base::ResultCode::GroupUnavailable));
        return;
    }
    this->group->readBarrier([this, mailbox = this->worker, knownRevision, respond](base::ResultCode code) {
        mailbox->post([this, knownRevision, respond, code] {
            if (code == base::ResultCode::Ok && this->active->revision() >= this->store->texts().revision) {
                this->answerFetchWithCurrent(knownRevision, respond);
            } else {
                respond(fetchRefusal(base::ResultCode::GroupUnavailable));
            }
        });
    });
}

void ReplicatedConfigService::answerFetchWithCurrent(std::uint64_t knownRevision, const link::Responder &respond)
{
    const auto now = this->active->current();
    wire::FetchAnswerT answer;
    answer.ready = this->startCheck.isReady();
    answer.revision = now->revision;
    answer.newer = now->revision > knownRevision;
    if (answer.newer) {
        const auto base = this->active->findRecent(knownRevision);
        answer.base_revision = base ? knownRevision : 0;
        answer.register_delta = wireDelta(base ? base->registerText : "", now->registerText);
        answer.rules_delta = wireDelta(base ? base->rulesText : "", now->rulesText);
    }
    respond(encode(answer));
}

void ReplicatedConfigService::answerChange(const Change &change, const link::Responder &respond)
{
    if (!this->proposer) {
        respond(encodeReply({{base::ResultCode::NotLeader, "", 0, {}}, "", true}));
        return;
    }
    this->proposer->submit(change, [respond](const MemberReply &reply) { respond(encodeReply(reply)); });
}

} // namespace cranberryreel::config
