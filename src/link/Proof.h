#pragma once

#include <string>

namespace cranberryreel::link
{

/// The content that both ends of a handshake sign. Nonces and roles make replayed and reflected proofs fail.
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

/// Returns random bytes from a cryptographic generator. Throws base::Error(Internal) when the generator fails.
std::string makeNonce();

/// Returns the HMAC-SHA256 of the subject and the role under the key.
std::string computeProof(const std::string &key, ProofRole role, const ProofSubject &subject);

/// Compares two proofs in constant time.
bool proofsEqual(const std::string &left, const std::string &right);

} // namespace cranberryreel::link
