#include "http/ClientWorker.h"

#include "cranberryreel/base/Error.h"

#include <algorithm>
#include <cstdint>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace cranberryreel::http
{

namespace
{

constexpr int MaxEventsPerWait = 64;
constexpr int MaxWaitMs = 1000;
constexpr std::size_t MaxIdleTransfers = 256;
constexpr std::size_t MaxSuspectHosts = 4096;

/// libcurl stores its address for each socket that is registered with epoll.
char registeredMarker = 0;

std::uint32_t epollEventsFor(int what)
{
    std::uint32_t events = 0;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) {
        events |= static_cast<std::uint32_t>(EPOLLIN);
    }
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) {
        events |= static_cast<std::uint32_t>(EPOLLOUT);
    }
    return events;
}

int curlActionFor(std::uint32_t events)
{
    int action = 0;
    if ((events & static_cast<std::uint32_t>(EPOLLIN | EPOLLHUP)) != 0) {
        action |= CURL_CSELECT_IN;
    }
    if ((events & static_cast<std::uint32_t>(EPOLLOUT)) != 0) {
        action |= CURL_CSELECT_OUT;
    }
    if ((events & static_cast<std::uint32_t>(EPOLLERR)) != 0) {
        action |= CURL_CSELECT_ERR;
    }
    return action;
}

/// Ends a call that waited beyond its limit: behind other calls, or in a process that did not run.
void endExpired(const ClientDone &done)
{
    ClientResponse response;
    response.outcome = CallOutcome::TimedOut;
    response.sent = false;
    response.error = "The limit passed before the call began";
    done(std::move(response));
}

} // namespace

ClientWorker::ClientWorker(const ClientOptions &clientOptions)
    : options(clientOptions)
    , multi(curl_multi_init())
    , epoll(::epoll_create1(EPOLL_CLOEXEC))
    , wakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (this->multi == nullptr || this->epoll < 0 || this->wakeEvent < 0) {
        throw base::Error(base::ResultCode::Internal, "The HTTP client cannot start; the machine may be out of file descriptors.");
    }
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &ClientWorker::onSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &ClientWorker::onTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS, this->options.connectionsPerHost);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, this->options.pooledConnections);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = this->wakeEvent;
    ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wakeEvent, &event);
    this->thread = std::thread([this] { this->run(); });
}

ClientWorker::~ClientWorker()
{
    this->stop();
    this->idleTransfers.clear();
    curl_multi_cleanup(this->multi);
    ::close(this->wakeEvent);
    ::close(this->epoll);
}

void ClientWorker::submit(ClientRequest request, ClientDone done)
{
    const base::SteadyTime deadline = base::steadyNow() + request.limit;
    {
        absl::MutexLock lock(&this->mutex);
        if (!this->stopping) {
            this->queuedCalls.push_back({std::move(request), std::move(done), deadline});
            if (this->queuedCalls.size() == 1) {
                this->wake();
            }
            return;
        }
    }
    ClientWorker::endStopped({{std::move(request), std::move(done), deadline}});
}

void ClientWorker::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->wake();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void ClientWorker::wake() const
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, and then the thread is already awake.
    static_cast<void>(::write(this->wakeEvent, &one, sizeof(one)) == 0);
}

void ClientWorker::endStopped(const std::vector<Call> &stoppedCalls)
{
    for (const Call &call : stoppedCalls) {
        ClientResponse response;
        response.outcome = CallOutcome::Stopped;
        response.sent = false;
        response.error = "The client is stopping";
        call.done(std::move(response));
    }
}

void ClientWorker::run()
{
    while (true) {
        {
            absl::MutexLock lock(&this->mutex);
            if (this->stopping) {
                break;
            }
        }
        this->waitForSockets();
        this->startQueuedCalls();
        this->completeFinished();
        this->completeOverdue();
    }
    for (auto &[transfer, owned] : this->activeTransfers) {
        curl_multi_remove_handle(this->multi, transfer->handle());
        transfer->finishAsStopped();
    }
    this->activeTransfers.clear();
    std::vector<Call> left;
    {
        absl::MutexLock lock(&this->mutex);
        left.swap(this->queuedCalls);
    }
    ClientWorker::endStopped(left);
}

int ClientWorker::waitTimeoutMs() const
{
    base::SteadyTime wake = base::steadyNow() + std::chrono::milliseconds(MaxWaitMs);
    if (this->timer) {
        wake = std::min(wake, *this->timer);
    }
    if (!this->deadlines.empty()) {
        wake = std::min(wake, this->deadlines.begin()->first);
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(wake - base::steadyNow()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, MaxWaitMs));
}

void ClientWorker::waitForSockets()
{
    epoll_event events[MaxEventsPerWait];
    const int count = ::epoll_wait(this->epoll, events, MaxEventsPerWait, this->waitTimeoutMs());
    int running = 0;
    for (int i = 0; i < count; ++i) {
        if (events[i].data.fd == this->wakeEvent) {
            std::uint64_t value = 0;
            static_cast<void>(::read(this->wakeEvent, &value, sizeof(value)) == 0);
        } else {
            curl_multi_socket_action(this->multi, events[i].data.fd, curlActionFor(events[i].events), &running);
        }
    }
    if (this->timer && *this->timer <= base::steadyNow()) {
        this->timer.reset();
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void ClientWorker::startQueuedCalls()
{
    std::vector<Call> taken;
    {
        absl::MutexLock lock(&this->mutex);
        taken.swap(this->queuedCalls);
    }
    for (Call &call : taken) {
        if (base::steadyNow() >= call.deadline) {
            endExpired(call.done);
        } else {
            this->startTransfer(std::move(call));
        }
    }
}

void ClientWorker::startTransfer(Call call)
{
    std::unique_ptr<Transfer> transfer;
    if (this->idleTransfers.empty()) {
        transfer = std::make_unique<Transfer>();
    } else {
        transfer = std::move(this->idleTransfers.back());
        this->idleTransfers.pop_back();
    }
    const bool fresh = call.request.freshConnection || this->isSuspect(call.request.host);
    transfer->prepare(std::move(call.request), std::move(call.done), call.deadline, this->options, fresh);
    Transfer *key = transfer.get();
    this->activeTransfers.emplace(key, std::move(transfer));
    this->deadlines.insert({key->deadline(), key});
    curl_multi_add_handle(this->multi, key->handle());
}

bool ClientWorker::isSuspect(const std::string &host)
{
    const auto found = this->suspectUntil.find(host);
    if (found == this->suspectUntil.end()) {
        return false;
    }
    if (found->second > base::steadyNow()) {
        return true;
    }
    this->suspectUntil.erase(found);
    return false;
}

void ClientWorker::completeFinished()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode result = message->data.result;
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        std::unique_ptr<Transfer> owned = this->removeActive(transfer);
        if (owned->timedOutOnReusedConnection(result) && this->suspectUntil.size() < MaxSuspectHosts) {
            // The host's other pooled connections may be dead as well; none is reused until all of them have exceeded the idle limit.
            this->suspectUntil[owned->host()] = base::steadyNow() + this->options.maxIdleTime + std::chrono::seconds(1);
        }
        owned->finish(result);
        this->recycle(std::move(owned));
    }
}

void ClientWorker::completeOverdue()
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= base::steadyNow()) {
        std::unique_ptr<Transfer> owned = this->removeActive(this->deadlines.begin()->second);
        owned->finish(CURLE_OPERATION_TIMEDOUT);
        this->recycle(std::move(owned));
    }
}

std::unique_ptr<Transfer> ClientWorker::removeActive(Transfer *transfer)
{
    curl_multi_remove_handle(this->multi, transfer->handle());
    this->deadlines.erase({transfer->deadline(), transfer});
    const auto found = this->activeTransfers.find(transfer);
    std::unique_ptr<Transfer> owned = std::move(found->second);
    this->activeTransfers.erase(found);
    return owned;
}

void ClientWorker::recycle(std::unique_ptr<Transfer> transfer)
{
    if (this->idleTransfers.size() < MaxIdleTransfers) {
        this->idleTransfers.push_back(std::move(transfer));
    }
}

int ClientWorker::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *registered)
{
    auto *worker = static_cast<ClientWorker *>(self);
    if (what == CURL_POLL_REMOVE) {
        ::epoll_ctl(worker->epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(worker->multi, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.events = epollEventsFor(what);
    event.data.fd = socket;
    if (::epoll_ctl(worker->epoll, registered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event) != 0) {
        ::epoll_ctl(worker->epoll, registered == nullptr ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    }
    curl_multi_assign(worker->multi, socket, &registeredMarker);
    return 0;
}

int ClientWorker::onTimer(CURLM *, long timeoutMs, void *self)
{
    auto *worker = static_cast<ClientWorker *>(self);
    if (timeoutMs < 0) {
        worker->timer.reset();
    } else {
        worker->timer = base::steadyNow() + std::chrono::milliseconds(timeoutMs);
    }
    return 0;
}

} // namespace cranberryreel::http
