#include "link/TcpLinkHub.h"

#include "link/LinkLog.h"

#include <absl/algorithm/container.h>

#include <fmt/format.h>

#include <random>
#include <utility>

#include <pthread.h>

namespace cranberryreel::link
{

namespace
{

constexpr std::chrono::milliseconds MaxWait{1000};

/// The VM with the higher name uses a longer heartbeat interval, so that an idle link carries one ping per interval instead of two.
LinkTimings timingsFor(const LinkHubOptions &options, const std::string &peerVm)
{
    LinkTimings timings = options.timings;
    if (peerVm < options.vm) {
        timings.heartbeatInterval += timings.heartbeatInterval / 4;
    }
    return timings;
}

/// Returns a random start for the call ids, so that a late answer to a call of an earlier process on this VM matches no call of this process.
std::uint64_t firstCallId()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 31U) + 1;
}

} // namespace

TcpLinkHub::TcpLinkHub(LinkHubOptions hubOptions)
    : options(std::move(hubOptions))
    , local(this->options.vm, this->loop, this->receivers, this->options.limits)
    , halfOpen(this->options.limits)
    , answerRoute(std::make_shared<AnswerRoute>(static_cast<AnswerSink &>(*this)))
    , nextCallId(firstCallId())
{
    for (const Peer &peer : this->options.peers) {
        this->insertPeer(peer);
    }
    this->local.setResponders([route = this->answerRoute, vm = this->options.vm](std::uint64_t id) {
        return [route, vm, id](std::string payload) { route->answer(vm, 0, id, std::move(payload)); };
    });
}

TcpLinkHub::~TcpLinkHub()
{
    this->stop();
}

void TcpLinkHub::onMessage(Channel channel, MessageHandler handler)
{
    this->receivers.setMessageHandler(channel, std::move(handler));
}

void TcpLinkHub::onCall(Channel channel, CallHandler handler)
{
    this->receivers.setCallHandler(channel, std::move(handler));
}

void TcpLinkHub::start()
{
    this->listener = std::make_unique<Listener>(this->loop, this->options.listen, [this](Socket socket) { this->accept(std::move(socket)); });
    for (PeerLink *link : this->links.all()) {
        link->dialSchedule().linkLost(base::steadyNow());
    }
    this->thread = std::thread([this] { this->run(); });
    linkLog().info("Listening on {}:{} for {} peers.", this->options.listen.ip, this->options.listen.port, this->links.all().size());
}

void TcpLinkHub::stop()
{
    if (std::exchange(this->stopped, true)) {
        return;
    }
    this->stopping.store(true);
    this->loop.wake();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->answerRoute->close();
    this->shutDown();
}

bool TcpLinkHub::send(const std::string &toVm, Channel channel, std::string payload)
{
    if (payload.size() > this->options.limits.frameBytes - FrameOverheadBytes) {
        return false;
    }
    if (toVm == this->options.vm) {
        return this->local.send(channel, std::move(payload));
    }
    PeerLink *peer = this->findPeer(toVm);
    if (peer == nullptr || !peer->outbox().push(messageFrame(channel, payload))) {
        return false;
    }
    this->scheduleFlush(*peer);
    return true;
}

void TcpLinkHub::call(
    const std::string &toVm, Channel channel, std::string payload, std::chrono::milliseconds limit, const std::string &traceparent, CallDone done)
{
    if (payload.size() + traceparent.size() > this->options.limits.frameBytes - FrameOverheadBytes) {
        this->failUnsentCall(std::move(done), base::ResultCode::LinkFrameInvalid);
        return;
    }
    const std::uint64_t id = this->nextCallId.fetch_add(1);
    const base::SteadyTime deadline = base::steadyNow() + limit;
    std::optional<CallDone> refused;
    if (toVm == this->options.vm) {
        refused = this->local.call(id, channel, std::move(payload), deadline, traceparent, std::move(done));
    } else if (PeerLink *peer = this->findPeer(toVm)) {
        refused = peer->outbox().pushCall(id, callFrame(channel, id, traceparent, payload), deadline, std::move(done));
        this->scheduleFlush(*peer);
    } else {
        refused = std::move(done);
    }
    if (refused) {
        this->failUnsentCall(std::move(*refused), base::ResultCode::LinkDown);
    }
}

void TcpLinkHub::setKeys(LinkKeys keys)
{
    this->loop.post([this, keys = std::move(keys)]() mutable { this->applyKeys(std::move(keys)); });
}

std::vector<PeerStatus> TcpLinkHub::peers() const
{
    std::vector<PeerStatus> all;
    for (const PeerLink *link : this->links.all()) {
        all.push_back(link->status());
    }
    absl::c_sort(all, [](const PeerStatus &left, const PeerStatus &right) { return left.vm < right.vm; });
    return all;
}

LinkFigures TcpLinkHub::figures() const
{
    return this->counters.read();
}

bool TcpLinkHub::isUp(const std::string &vm) const
{
    if (vm == this->options.vm) {
        return !this->stopping.load();
    }
    const PeerLink *peer = this->findPeer(vm);
    return peer != nullptr && peer->status().up;
}

void TcpLinkHub::halfOpenAdopted(HalfOpenLink &link)
{
    if (this->options.acceptNewcomers) {
        this->insertPeer({link.handshake().peerVm(), {}});
    }
    PeerLink *peer = this->findPeer(link.handshake().peerVm());
    const bool choosesConnection = this->options.vm < peer->vm();
    const std::shared_ptr<Connection> connection = link.connection();
    if (choosesConnection && peer->openedBeforeAttach(*connection)) {
        link.close();
        this->halfOpen.retire(link);
        return;
    }
    const std::string key = link.handshake().provedKey();
    this->halfOpen.retire(link);
    this->halfOpen.retireDials(peer->vm(), choosesConnection);
    peer->attach(connection, key, choosesConnection);
}

void TcpLinkHub::halfOpenRefused(HalfOpenLink &link, const base::Error &error)
{
    this->counters.handshakesRefused.fetch_add(1);
    this->refusalLog.logRefusal(base::steadyNow(), error.what());
    this->halfOpenLost(link, error.what());
}

void TcpLinkHub::halfOpenLost(HalfOpenLink &link, const std::string &reason)
{
    link.close();
    if (link.connection()->dialed()) {
        linkLog().debug("Failed to dial {}: {}.", link.handshake().peerVm(), reason);
        if (PeerLink *peer = this->findPeer(link.handshake().peerVm()); peer != nullptr && !peer->attached()) {
            peer->dialSchedule().dialFailed(base::steadyNow());
        }
    }
    this->halfOpen.retire(link);
}

void TcpLinkHub::callArrived(const std::string &fromVm, std::uint64_t generation, const wire::Call &call)
{
    const std::uint64_t id = call.id();
    Responder respond = [route = this->answerRoute, fromVm, generation, id](std::string payload) { route->answer(fromVm, generation, id, std::move(payload)); };
    if (const CallHandler *handler = this->receivers.callHandler(call.channel())) {
        (*handler)(fromVm, readBytes(call.payload()), readString(call.traceparent()), std::move(respond));
    } else if (PeerLink *peer = this->findPeer(fromVm)) {
        peer->outbox().pushForConnection(generation, answerFrame(id, base::ResultCode::Internal, {}));
        this->scheduleFlush(*peer);
    }
}

void TcpLinkHub::linkLost(const std::string &vm, const std::string & /*reason*/)
{
    this->findPeer(vm)->dialSchedule().linkLost(base::steadyNow());
}

void TcpLinkHub::answer(const std::string &toVm, std::uint64_t generation, std::uint64_t id, std::string payload)
{
    if (toVm == this->options.vm) {
        this->local.answer(id, base::ResultCode::Ok, std::move(payload));
        return;
    }
    PeerLink *peer = this->findPeer(toVm);
    const bool fits = payload.size() <= this->options.limits.frameBytes - FrameOverheadBytes;
    std::string frame = fits ? answerFrame(id, base::ResultCode::Ok, payload) : answerFrame(id, base::ResultCode::LinkFrameInvalid, {});
    if (!peer->outbox().pushForConnection(generation, std::move(frame))) {
        this->counters.answersDropped.fetch_add(1);
        return;
    }
    this->scheduleFlush(*peer);
}

void TcpLinkHub::run()
{
    pthread_setname_np(pthread_self(), "link-io");
    while (!this->stopping.load()) {
        this->loop.runOnce(this->untilNextTick(base::steadyNow()));
        this->tick(base::steadyNow());
    }
}

void TcpLinkHub::shutDown()
{
    this->listener.reset();
    this->halfOpen.closeAll();
    for (PeerLink *link : this->links.all()) {
        link->flushIfRequested();
        link->drop("this daemon is stopping");
    }
    endCalls(this->local.outbox().close());
    this->loop.close();
}

std::chrono::milliseconds TcpLinkHub::untilNextTick(base::SteadyTime now) const
{
    base::SteadyTime next = std::min(this->listener->nextTick(), this->halfOpen.nextTick());
    if (const std::optional<base::SteadyTime> deadline = this->local.nextDeadline()) {
        next = std::min(next, *deadline);
    }
    for (PeerLink *link : this->links.all()) {
        next = std::min(next, link->nextTick());
        if (this->mayDial(*link)) {
            next = std::min(next, link->dialSchedule().nextDial());
        }
    }
    if (next >= now + MaxWait) {
        return MaxWait;
    }
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(next - now), std::chrono::milliseconds(0));
}

void TcpLinkHub::tick(base::SteadyTime now)
{
    this->listener->tick(now);
    for (HalfOpenLink *overdue : this->halfOpen.overdueLinks(now)) {
        this->halfOpenLost(*overdue, "the handshake timed out");
    }
    for (PeerLink *link : this->links.all()) {
        link->flushIfRequested();
        link->tick(now);
        if (this->mayDial(*link) && now >= link->dialSchedule().nextDial()) {
            this->dial(*link, now);
        }
    }
    endCalls(this->local.outbox().expire(now));
    this->halfOpen.freeRetired();
}

void TcpLinkHub::dial(PeerLink &peer, base::SteadyTime now)
{
    try {
        this->openHalfOpenLink(Socket::connect(peer.address()), dialerHandshake(this->handshakeContext(), peer.vm()), true);
    } catch (const base::Error &error) {
        linkLog().debug("Failed to dial {}: {}", peer.vm(), error.what());
        peer.dialSchedule().dialFailed(now);
    }
}

void TcpLinkHub::accept(Socket socket)
{
    if (HalfOpenLink *oldest = this->halfOpen.oldestAcceptedWhenFull()) {
        this->halfOpenLost(*oldest, "too many half-open connections");
    }
    this->openHalfOpenLink(std::move(socket), acceptorHandshake(this->handshakeContext()), false);
}

void TcpLinkHub::openHalfOpenLink(Socket socket, std::unique_ptr<Handshake> handshake, bool dialed)
{
    auto connection = std::make_shared<Connection>(this->loop, std::move(socket), this->options.limits.handshakeFrameBytes, dialed);
    const base::SteadyTime deadline = base::steadyNow() + this->options.timings.handshakeLimit;
    this->halfOpen.add(
        std::make_unique<HalfOpenLink>(std::move(connection), std::move(handshake), this->options.vm, deadline, static_cast<HalfOpenListener &>(*this)));
}

void TcpLinkHub::applyKeys(LinkKeys keys)
{
    this->options.keys = std::move(keys);
    for (PeerLink *link : this->links.all()) {
        if (link->attached() && !this->options.keys.accepts(link->provedKey())) {
            link->drop("its key is no longer accepted");
        }
    }
    linkLog().info("The accepted shared keys have been replaced.");
}

void TcpLinkHub::scheduleFlush(PeerLink &peer)
{
    peer.requestFlush();
    this->loop.wake();
}

void TcpLinkHub::failUnsentCall(CallDone done, base::ResultCode code)
{
    const auto finish = [done = std::move(done), code] { done({code, false, {}}); };
    if (!this->loop.post(finish)) {
        finish();
    }
}

HandshakeContext TcpLinkHub::handshakeContext() const
{
    return {this->options.cluster, this->options.vm, this->options.keys, [this](const std::string &vm) {
                return this->options.acceptNewcomers || this->findPeer(vm) != nullptr;
            }};
}

PeerLink *TcpLinkHub::findPeer(const std::string &vm) const
{
    return this->links.find(vm);
}

bool TcpLinkHub::mayDial(PeerLink &peer) const
{
    return !peer.address().ip.empty() && !peer.attached() && !this->halfOpen.dialing(peer.vm());
}

void TcpLinkHub::insertPeer(const Peer &peer)
{
    if (this->findPeer(peer.vm) != nullptr) {
        return;
    }
    const LinkTimings timings = timingsFor(this->options, peer.vm);
    auto link = std::make_unique<PeerLink>(peer.vm, peer.endpoint, timings, this->options.limits, DialSchedule(timings, peer.vm < this->options.vm));
    link->setReceivers(this->receivers, *this, this->counters);
    this->links.insert(std::move(link));
}

void TcpLinkHub::addPeer(const std::string &vm, const std::string &address)
{
    if (vm == this->options.vm) {
        return;
    }
    const Endpoint endpoint = Endpoint::parse(address);
    this->loop.post([this, vm, endpoint] {
        this->insertPeer({vm, endpoint});
        this->findPeer(vm)->setAddress(endpoint);
    });
}

void TcpLinkHub::stopDialing(const std::string &vm)
{
    this->loop.post([this, vm] {
        if (PeerLink *peer = this->findPeer(vm)) {
            peer->setAddress({});
        }
    });
}

} // namespace cranberryreel::link
