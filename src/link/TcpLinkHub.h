#pragma once

#include "link/AnswerRoute.h"
#include "link/HalfOpenLinks.h"
#include "link/LinkHubOptions.h"
#include "link/Listener.h"
#include "link/LocalLink.h"
#include "link/PeerTable.h"
#include "link/RefusalLog.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::link
{

/// The LinkHub over TCP. One I/O thread runs all connections with epoll; each peer's outbox has its own lock.
class TcpLinkHub : public LinkHub, private HalfOpenListener, private CallReceiver, private AnswerSink
{
public:
    explicit TcpLinkHub(LinkHubOptions hubOptions);
    ~TcpLinkHub() override;

    void onMessage(Channel channel, MessageHandler handler) override;
    void onCall(Channel channel, CallHandler handler) override;
    void start() override;
    void stop() override;
    bool send(const std::string &toVm, Channel channel, std::string payload) override;
    void call(
        const std::string &toVm, Channel channel, std::string payload, std::chrono::milliseconds limit, const std::string &traceparent, CallDone done) override;
    void setKeys(LinkKeys keys) override;
    void addPeer(const std::string &vm, const std::string &address) override;
    void stopDialing(const std::string &vm) override;
    std::vector<PeerStatus> peers() const override;
    LinkFigures figures() const override;
    bool isUp(const std::string &vm) const override;

private:
    void halfOpenAdopted(HalfOpenLink &link) override;
    void halfOpenRefused(HalfOpenLink &link, const base::Error &error) override;
    void halfOpenLost(HalfOpenLink &link, const std::string &reason) override;
    void callArrived(const std::string &fromVm, std::uint64_t generation, const wire::Call &call) override;
    void linkLost(const std::string &vm, const std::string &reason) override;
    void answer(const std::string &toVm, std::uint64_t generation, std::uint64_t id, std::string payload) override;

    void run();
    void shutDown();
    std::chrono::milliseconds untilNextTick(base::SteadyTime now) const;
    void tick(base::SteadyTime now);
    void dialDue(base::SteadyTime now);
    void dial(PeerLink &peer, base::SteadyTime now);
    void accept(Socket socket);
    void openHalfOpenLink(Socket socket, std::unique_ptr<Handshake> handshake, bool dialed);
    void applyKeys(LinkKeys keys);
    void scheduleFlush(PeerLink &peer);
    void failUnsentCall(CallDone done, base::ResultCode code);
    HandshakeContext handshakeContext() const;
    bool mayDial(PeerLink &peer) const;
    void insertPeer(const Peer &peer);
    PeerLink *findPeer(const std::string &vm) const;

    LinkHubOptions options;
    EventLoop loop;
    Receivers receivers;
    LinkCounters counters;
    LocalLink local;
    PeerTable links;
    HalfOpenLinks halfOpen;
    std::unique_ptr<Listener> listener;
    RefusalLog refusalLog;
    std::shared_ptr<AnswerRoute> answerRoute;
    std::atomic<std::uint64_t> nextCallId;
    std::atomic<bool> stopping{false};
    bool stopped = false;
    std::thread thread;
};

} // namespace cranberryreel::link
