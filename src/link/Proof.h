#pragma once

#include <string>

namespace cranberryreel::link
{

/// What both ends of a handshake sign. A replay or a reflection signs other words and fails.
struct ProofSubject {
    std::string cluster;
    std::string dialerVm;
    std::string acceptorVm;
    std::string dialerNonce;
    std::string acceptorNonce;
};

enum class ProofRole {
    Dialer,
    Acceptor,
};

constexpr std::size_t NonceBytes = 32;

/// Unpredictable bytes. Throws base::Error(Internal) when the system has none.
std::string makeNonce();

/// HMAC-SHA256 of the subject in a role.
std::string prove(const std::string &key, ProofRole role, const ProofSubject &subject);

/// Compares in constant time.
bool sameProof(const std::string &left, const std::string &right);

} // namespace cranberryreel::link
