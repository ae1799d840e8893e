#include "HttpServer.h"

#include "Sockets.h"

#include <utility>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberryreel::review
{

namespace
{

constexpr int AcceptWaitMs = 5;

void resetOnClose(int socket)
{
    const linger reset{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

} // namespace

HttpServer::HttpServer(std::string listenAddress, Handler requestHandler)
    : address(std::move(listenAddress))
    , handler(std::move(requestHandler))
{
}

HttpServer::~HttpServer()
{
    this->stop();
    for (const int connection : this->silentConnections) {
        ::close(connection);
    }
}

void HttpServer::start()
{
    const int socket = listenOn(this->address);
    this->listening = socket;
    this->running = true;
    this->acceptor = std::thread([this, socket] { this->acceptAll(socket); });
}

void HttpServer::stop()
{
    this->close(false);
}

void HttpServer::goDark()
{
    this->close(true);
}

void HttpServer::close(bool silently)
{
    this->dark = silently;
    if (!this->running.exchange(false)) {
        return;
    }
    ::shutdown(this->listening, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listening);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int connection : this->connections) {
            if (!silently) {
                resetOnClose(connection);
            }
            ::shutdown(connection, SHUT_RD); // Wakes the connection's thread and sends nothing.
        }
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
    this->workers.clear();
}

void HttpServer::acceptAll(int listenSocket)
{
    while (this->running) {
        this->resetSilentConnections();
        pollfd waiting{listenSocket, POLLIN, 0};
        if (::poll(&waiting, 1, AcceptWaitMs) <= 0) {
            continue;
        }
        const int connection = ::accept4(listenSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.insert(connection);
        this->workers.emplace_back([this, connection] { this->serve(connection); });
    }
}

void HttpServer::serve(int connection)
{
    std::string buffer;
    while (this->running) {
        const auto request = readMessage(connection, buffer);
        if (!request || !this->running) {
            break;
        }
        const HttpReply reply = this->handler(*request);
        const std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " -\r\nContent-Type: application/json\r\nContent-Length: ";
        if (!this->running || !writeAll(connection, head + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->connections.erase(connection);
    if (this->dark) {
        this->silentConnections.insert(connection);
    } else {
        ::close(connection);
    }
}

void HttpServer::resetSilentConnections()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto at = this->silentConnections.begin(); at != this->silentConnections.end();) {
        int bytes = 0;
        if (::ioctl(*at, FIONREAD, &bytes) == 0 && bytes > 0) {
            resetOnClose(*at);
            ::close(*at);
            at = this->silentConnections.erase(at);
        } else {
            ++at;
        }
    }
}

} // namespace cranberryreel::review
