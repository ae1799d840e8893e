#include "link/Proof.h"

#include "cranberryreel/base/Error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <string_view>

namespace cranberryreel::link
{

namespace
{

constexpr std::string_view ProtocolLabel = "cranberryreel-link-1";

void addField(std::string &text, std::string_view field)
{
    text.append(std::to_string(field.size()));
    text.push_back(':');
    text.append(field);
}

} // namespace

std::string makeNonce()
{
    std::array<unsigned char, NonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw base::Error(base::ResultCode::Internal, "The system's random generator failed during a handshake.");
    }
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string computeProof(const std::string &key, ProofRole role, const ProofSubject &subject)
{
    std::string text;
    addField(text, ProtocolLabel);
    addField(text, role == ProofRole::Dialer ? "dialer" : "acceptor");
    addField(text, subject.cluster);
    addField(text, subject.dialerVm);
    addField(text, subject.acceptorVm);
    addField(text, subject.dialerNonce);
    addField(text, subject.acceptorNonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac.data(), &length);
    return {reinterpret_cast<const char *>(mac.data()), length};
}

bool proofsEqual(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace cranberryreel::link
