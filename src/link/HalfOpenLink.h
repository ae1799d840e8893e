#pragma once

#include "link/Connection.h"
#include "link/Handshake.h"

#include "cranberryreel/base/Error.h"

namespace cranberryreel::link
{

class HalfOpenLink;

/// Receives the outcome of a half-open link on the I/O thread.
class HalfOpenListener
{
public:
    virtual ~HalfOpenListener() = default;
    virtual void halfOpenAdopted(HalfOpenLink &link) = 0; ///< Both ends are authenticated and the deciding end has chosen this connection.
    virtual void halfOpenRefused(HalfOpenLink &link, const base::Error &error) = 0;
    virtual void halfOpenLost(HalfOpenLink &link, const std::string &reason) = 0;
};

/// A connection that is not yet authenticated and chosen as the link. The VM with the lower name chooses; the other end waits for its Adopt frame. Owned by
/// HalfOpenLinks; I/O thread only.
class HalfOpenLink : public ConnectionOwner
{
public:
    HalfOpenLink(std::shared_ptr<Connection> ownConnection,
                 std::unique_ptr<Handshake> ownHandshake,
                 std::string ownVmName,
                 base::SteadyTime handshakeDeadline,
                 HalfOpenListener &halfOpenListener);

    void open();
    void close();

    const std::shared_ptr<Connection> &connection() const;
    const Handshake &handshake() const;
    base::SteadyTime deadline() const;

    void connected(Connection &source) override;
    void frameArrived(Connection &source, std::string body) override;
    void outputDrained(Connection &source) override;
    void connectionLost(Connection &source, const std::string &reason) override;

private:
    void continueHandshake(const std::string &body);
    void awaitAdoption(const std::string &body);
    void rejectPeer(const base::Error &error);

    std::shared_ptr<Connection> ownedConnection;
    std::unique_ptr<Handshake> ownedHandshake;
    std::string ownVm;
    base::SteadyTime due;
    HalfOpenListener &listener;
};

} // namespace cranberryreel::link
