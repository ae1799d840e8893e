#include "link/HalfOpenLink.h"

#include "link/Frames.h"

namespace cranberryreel::link
{

HalfOpenLink::HalfOpenLink(std::shared_ptr<Connection> ownConnection,
                           std::unique_ptr<Handshake> ownHandshake,
                           std::string ownVmName,
                           base::SteadyTime handshakeDeadline,
                           HalfOpenListener &halfOpenListener)
    : ownedConnection(std::move(ownConnection))
    , ownedHandshake(std::move(ownHandshake))
    , ownVm(std::move(ownVmName))
    , due(handshakeDeadline)
    , listener(halfOpenListener)
{
}

void HalfOpenLink::open()
{
    this->ownedConnection->open(*this);
}

void HalfOpenLink::close()
{
    this->ownedConnection->close();
}

const std::shared_ptr<Connection> &HalfOpenLink::connection() const
{
    return this->ownedConnection;
}

const Handshake &HalfOpenLink::handshake() const
{
    return *this->ownedHandshake;
}

base::SteadyTime HalfOpenLink::deadline() const
{
    return this->due;
}

void HalfOpenLink::connected(Connection &source)
{
    source.write(this->ownedHandshake->firstFrame());
    source.flush();
}

void HalfOpenLink::frameArrived(Connection & /*source*/, std::string body)
{
    try {
        if (this->ownedHandshake->complete()) {
            this->awaitAdoption(body);
        } else {
            this->continueHandshake(body);
        }
    } catch (const base::Error &error) {
        this->rejectPeer(error);
    }
}

void HalfOpenLink::outputDrained(Connection & /*source*/)
{
}

void HalfOpenLink::connectionLost(Connection & /*source*/, const std::string &reason)
{
    this->listener.halfOpenLost(*this, reason);
}

void HalfOpenLink::continueHandshake(const std::string &body)
{
    if (const std::optional<std::string> reply = this->ownedHandshake->receive(body)) {
        this->ownedConnection->write(*reply);
        this->ownedConnection->flush();
    }
    if (!this->ownedConnection->closed() && this->ownedHandshake->complete() && this->ownVm < this->ownedHandshake->peerVm()) {
        this->listener.halfOpenAdopted(*this);
    }
}

void HalfOpenLink::awaitAdoption(const std::string &body)
{
    if (parseFrame(body).body_as_Adopt() == nullptr) {
        throw base::Error(base::ResultCode::LinkFrameInvalid, "A link sent a frame before it was adopted.");
    }
    this->listener.halfOpenAdopted(*this);
}

void HalfOpenLink::rejectPeer(const base::Error &error)
{
    if (!this->ownedConnection->dialed()) {
        wire::RefusalT refusal;
        refusal.code = static_cast<std::int32_t>(error.code());
        wire::BodyUnion body;
        body.Set(refusal);
        this->ownedConnection->write(bodyFrame(body));
        this->ownedConnection->flush();
    }
    if (!this->ownedConnection->closed()) {
        this->ownedConnection->close();
        this->listener.halfOpenRefused(*this, error);
    }
}

} // namespace cranberryreel::link
