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

/// One thread of a Client: an epoll loop that drives libcurl's multi interface, so that its cost follows the sockets that are ready and not the calls that
/// wait. Owned by the Client.
class ClientWorker
{
public:
    explicit ClientWorker(const ClientOptions &clientOptions);
    ~ClientWorker();
    ClientWorker(const ClientWorker &) = delete;
    ClientWorker &operator=(const ClientWorker &) = delete;

    /// Any thread.
    void submit(ClientRequest request, ClientDone done);
    void stop();

private:
    struct Call {
        ClientRequest request;
        ClientDone done;
    };

    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *known);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);

    void run();
    void wake() const;
    void waitForSockets();
    void takeCalls();
    void begin(Call call);
    void takeFinished();
    void endOverdue();
    std::unique_ptr<Transfer> release(Transfer *transfer);
    void keepIdle(std::unique_ptr<Transfer> transfer);
    static void refuse(const std::vector<Call> &refused);
    bool inDoubt(const std::string &host);
    int waitTimeoutMs() const;

    const ClientOptions options;
    CURLM *multi;
    int epoll;
    int wakeUp;
    std::optional<base::SteadyTime> timer;
    std::vector<std::unique_ptr<Transfer>> idle;
    absl::flat_hash_map<Transfer *, std::unique_ptr<Transfer>> active;
    absl::btree_set<std::pair<base::SteadyTime, Transfer *>> deadlines; ///< Of the active ones.
    absl::flat_hash_map<std::string, base::SteadyTime> doubtfulUntil; ///< Hosts with a pooled connection that went silent.
    absl::Mutex mutex;
    std::vector<Call> calls ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace cranberryreel::http
