#pragma once

#include "link/LinkKeys.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberryreel::link
{

/// The identity of this daemon and the keys that it accepts in handshakes.
struct HandshakeContext {
    std::string cluster;
    std::string vm;
    LinkKeys keys;
    std::function<bool(const std::string &vm)> knowsPeer; ///< Whether this VM may be a peer.
};

/// One end of the mutual authentication of a connection by a shared key. Takes and returns frames, without sockets. Owned by a half-open link; I/O thread
/// only. Frame order: Hello, Challenge, Proof, Welcome. The dialer proves its key first, so that a dialer without the key learns nothing.
class Handshake
{
public:
    virtual ~Handshake() = default;

    /// The first frame of the dialing end; empty for the accepting end.
    virtual std::string firstFrame() = 0;

    /// Handles the body of a received frame and returns the frame to send next, if any. Throws base::Error(LinkHandshakeRefused, LinkVersionMismatch,
    /// LinkFrameInvalid).
    virtual std::optional<std::string> receive(const std::string &body) = 0;

    virtual bool complete() const = 0;

    /// Whether the other end may already consider the handshake complete.
    virtual bool peerMayBeComplete() const = 0;

    /// The VM of the other end, as dialed or as claimed by that end; authenticated only once the handshake is complete.
    virtual const std::string &peerVm() const = 0;

    /// The key that the proof succeeded with; empty until the handshake is complete.
    virtual const std::string &provedKey() const = 0;
};

std::unique_ptr<Handshake> dialerHandshake(HandshakeContext context, std::string peerVm);
std::unique_ptr<Handshake> acceptorHandshake(HandshakeContext context);

} // namespace cranberryreel::link
