#pragma once

#include "HttpMessage.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::review
{

/// A response of an HttpServer.
struct HttpReply {
    int status = 200;
    std::string body;
};

/// Serves HTTP/1.1 on one loopback address, a thread for each connection. Owned by a stand-in.
class HttpServer
{
public:
    using Handler = std::function<HttpReply(const HttpMessage &request)>;

    HttpServer(std::string listenAddress, Handler requestHandler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens. Throws std::runtime_error if the address is taken.
    void start();

    /// Ends like the server of a killed process: the port is closed and all connections are reset.
    void stop();

    /// Ends like the server of a machine that loses power: the port is closed, and open connections stay silent. After the next start() a connection is reset
    /// once its peer sends something on it.
    void goDark();

private:
    void close(bool silently);
    void acceptAll(int listenSocket);
    void serve(int connection);
    void resetSilentConnections();

    const std::string address;
    const Handler handler;
    std::mutex mutex;
    std::atomic<bool> running{false};
    std::atomic<bool> dark{false};
    int listening = -1;
    std::set<int> connections;
    std::set<int> silentConnections;
    std::thread acceptor;
    std::vector<std::thread> workers;
};

} // namespace cranberryreel::review
