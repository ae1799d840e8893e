#pragma once

#include "cranberryreel/base/Clock.h"
#include "http/ClientOptions.h"
#include "http/Transfer.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cranberryreel::http
{

/// One thread of a Client: an epoll loop that drives libcurl's multi interface, so that its cost depends on the number of ready sockets and not on the number
/// of waiting calls. Owned by the Client.
class ClientWorker
{
public:
    explicit ClientWorker(const ClientOptions &clientOptions);
    ~ClientWorker();
    ClientWorker(const ClientWorker &) = delete;
    ClientWorker &operator=(const ClientWorker &) = delete;

    /// Queues a call; any thread.
    void submit(ClientRequest request, ClientDone done);

    /// Ends all calls with Stopped and joins the thread.
    void stop();

private:
    struct Call {
        ClientRequest request;
        ClientDone done;
        base::SteadyTime deadline{}; ///< Counted from the submission.
    };

    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *registered);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);

    void run();
    void wake() const;
    void waitForSockets();
    void startQueuedCalls();
    void startTransfer(Call call);
    void completeFinished();
    void completeOverdue();
    std::unique_ptr<Transfer> removeActive(Transfer *transfer);
    void recycle(std::unique_ptr<Transfer> transfer);
    static void endStopped(const std::vector<Call> &stoppedCalls);
    bool isSuspect(const std::string &host);
    int waitTimeoutMs() const;

    const ClientOptions options;
    CURLM *multi;
    int epoll;
    int wakeEvent;
    std::optional<base::SteadyTime> timer;
    std::vector<std::unique_ptr<Transfer>> idleTransfers;
    absl::flat_hash_map<Transfer *, std::unique_ptr<Transfer>> activeTransfers;
    absl::btree_set<std::pair<base::SteadyTime, Transfer *>> deadlines; ///< Deadlines of the active transfers.

    /// Hosts with a pooled connection that went silent, with the time until which their calls use new connections.
    absl::flat_hash_map<std::string, base::SteadyTime> suspectUntil;

    absl::Mutex mutex;
    std::vector<Call> queuedCalls ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace cranberryreel::http
