#pragma once

#include "link/LinkKeys.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberryreel::link
{

/// Who this daemon is and which keys it accepts, as its handshakes see it.
struct HandshakeContext {
    std::string cluster;
    std::string vm;
    LinkKeys keys;
    std::function<bool(const std::string &vm)> knowsPeer; ///< Whether a VM belongs to the deployment.
};

/// One end of the proof that both ends of a connection hold a shared key. Knows no sockets: frames go in and come out. Owned by a half-open link.
/// Order: Hello, Challenge, Proof, Welcome. The dialer proves itself first, so that a stranger who dials learns nothing.
class Handshake
{
public:
    virtual ~Handshake() = default;

    /// What this end sends before it has received anything; empty for the accepting end.
    virtual std::string opening() = 0;

    /// Takes a frame's body and returns the frame to send next, or nothing. Throws base::Error(LinkHandshakeRefused, LinkVersionMismatch,
    /// LinkFrameInvalid).
    virtual std::optional<std::string> receive(const std::string &body) = 0;

    virtual bool complete() const = 0;

    /// Whether the other end may hold the handshake complete by now.
    virtual bool committed() const = 0;

    /// The other end, as far as it has named itself or was dialed; proved once complete.
    virtual const std::string &peerVm() const = 0;

    /// The key that the proof succeeded with. Empty until complete.
    virtual const std::string &provedKey() const = 0;
};

std::unique_ptr<Handshake> dialerHandshake(HandshakeContext context, std::string peerVm);
std::unique_ptr<Handshake> acceptorHandshake(HandshakeContext context);

} // namespace cranberryreel::link
