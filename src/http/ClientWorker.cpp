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

constexpr int EventsAtOnce = 64;
constexpr int LongestWaitMs = 1000;
constexpr std::size_t IdleHandles = 256;
constexpr std::size_t DoubtfulHosts = 4096;

/// Marks a socket that epoll knows already.
char knownMark = 0;

std::uint32_t eventsOf(int what)
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

int actionOf(std::uint32_t events)
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

} // namespace

ClientWorker::ClientWorker(const ClientOptions &clientOptions)
    : options(clientOptions)
    , multi(curl_multi_init())
    , epoll(::epoll_create1(EPOLL_CLOEXEC))
    , wakeUp(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (this->multi == nullptr || this->epoll < 0 || this->wakeUp < 0) {
        throw base::Error(base::ResultCode::Internal, "The HTTP client does not start; the machine may lack descriptors.");
    }
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &ClientWorker::onSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &ClientWorker::onTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS, this->options.connectionsPerHost);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, this->options.pooledConnections);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = this->wakeUp;
    ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wakeUp, &event);
    this->thread = std::thread([this] { this->run(); });
}

ClientWorker::~ClientWorker()
{
    this->stop();
    this->idle.clear();
    curl_multi_cleanup(this->multi);
    ::close(this->wakeUp);
    ::close(this->epoll);
}

void ClientWorker::submit(ClientRequest request, ClientDone done)
{
    {
        absl::MutexLock lock(&this->mutex);
        if (!this->stopping) {
            this->calls.push_back({std::move(request), std::move(done)});
            if (this->calls.size() == 1) {
                this->wake();
            }
            return;
        }
    }
    ClientWorker::refuse({{std::move(request), std::move(done)}});
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
    // A full counter means that the thread is awake already.
    static_cast<void>(::write(this->wakeUp, &one, sizeof(one)) == 0);
}

void ClientWorker::refuse(const std::vector<Call> &refused)
{
    for (const Call &call : refused) {
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
        this->takeCalls();
        this->takeFinished();
        this->endOverdue();
    }
    for (auto &[transfer, owned] : this->active) {
        curl_multi_remove_handle(this->multi, transfer->handle());
        transfer->finishStopped();
    }
    this->active.clear();
    std::vector<Call> left;
    {
        absl::MutexLock lock(&this->mutex);
        left.swap(this->calls);
    }
    ClientWorker::refuse(left);
}

int ClientWorker::waitTimeoutMs() const
{
    base::SteadyTime wake = base::steadyNow() + std::chrono::milliseconds(LongestWaitMs);
    if (this->timer) {
        wake = std::min(wake, *this->timer);
    }
    if (!this->deadlines.empty()) {
        wake = std::min(wake, this->deadlines.begin()->first);
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(wake - base::steadyNow()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, LongestWaitMs));
}

void ClientWorker::waitForSockets()
{
    epoll_event events[EventsAtOnce];
    const int count = ::epoll_wait(this->epoll, events, EventsAtOnce, this->waitTimeoutMs());
    int running = 0;
    for (int i = 0; i < count; ++i) {
        if (events[i].data.fd == this->wakeUp) {
            std::uint64_t value = 0;
            static_cast<void>(::read(this->wakeUp, &value, sizeof(value)) == 0);
        } else {
            curl_multi_socket_action(this->multi, events[i].data.fd, actionOf(events[i].events), &running);
        }
    }
    if (this->timer && *this->timer <= base::steadyNow()) {
        this->timer.reset();
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void ClientWorker::takeCalls()
{
    std::vector<Call> taken;
    {
        absl::MutexLock lock(&this->mutex);
        taken.swap(this->calls);
    }
    for (Call &call : taken) {
        this->begin(std::move(call));
    }
}

void ClientWorker::begin(Call call)
{
    std::unique_ptr<Transfer> transfer;
    if (this->idle.empty()) {
        transfer = std::make_unique<Transfer>();
    } else {
        transfer = std::move(this->idle.back());
        this->idle.pop_back();
    }
    const bool fresh = call.request.freshConnection || this->inDoubt(call.request.host);
    transfer->prepare(std::move(call.request), std::move(call.done), this->options, fresh);
    Transfer *key = transfer.get();
    this->active.emplace(key, std::move(transfer));
    this->deadlines.insert({key->deadline(), key});
    curl_multi_add_handle(this->multi, key->handle());
}

bool ClientWorker::inDoubt(const std::string &host)
{
    const auto found = this->doubtfulUntil.find(host);
    if (found == this->doubtfulUntil.end()) {
        return false;
    }
    if (found->second > base::steadyNow()) {
        return true;
    }
    this->doubtfulUntil.erase(found);
    return false;
}

void ClientWorker::takeFinished()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode result = message->data.result;
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        std::unique_ptr<Transfer> owned = this->release(transfer);
        if (owned->endedSilently(result) && this->doubtfulUntil.size() < DoubtfulHosts) {
            // The host's other pooled connections may be as dead; none is used again until all of them have idled out.
            this->doubtfulUntil[owned->host()] = base::steadyNow() + this->options.maxIdle + std::chrono::seconds(1);
        }
        owned->finish(result);
        this->keepIdle(std::move(owned));
    }
}

void ClientWorker::endOverdue()
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= base::steadyNow()) {
        std::unique_ptr<Transfer> owned = this->release(this->deadlines.begin()->second);
        owned->finish(CURLE_OPERATION_TIMEDOUT);
        this->keepIdle(std::move(owned));
    }
}

std::unique_ptr<Transfer> ClientWorker::release(Transfer *transfer)
{
    curl_multi_remove_handle(this->multi, transfer->handle());
    this->deadlines.erase({transfer->deadline(), transfer});
    const auto found = this->active.find(transfer);
    std::unique_ptr<Transfer> owned = std::move(found->second);
    this->active.erase(found);
    return owned;
}

void ClientWorker::keepIdle(std::unique_ptr<Transfer> transfer)
{
    if (this->idle.size() < IdleHandles) {
        this->idle.push_back(std::move(transfer));
    }
}

int ClientWorker::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *known)
{
    auto *worker = static_cast<ClientWorker *>(self);
    if (what == CURL_POLL_REMOVE) {
        ::epoll_ctl(worker->epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(worker->multi, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.events = eventsOf(what);
    event.data.fd = socket;
    if (::epoll_ctl(worker->epoll, known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event) != 0) {
        ::epoll_ctl(worker->epoll, known == nullptr ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    }
    curl_multi_assign(worker->multi, socket, &knownMark);
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
