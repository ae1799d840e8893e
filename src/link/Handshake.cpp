#include "link/Handshake.h"

#include "link/Frames.h"
#include "link/Proof.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <vector>

namespace cranberryreel::link
{

namespace
{

constexpr std::uint32_t ProtocolVersion = 1;

std::vector<std::string> keysOf(const LinkKeys &keys)
{
    std::vector<std::string> all{keys.current};
    if (!keys.next.empty()) {
        all.push_back(keys.next);
    }
    return all;
}

[[noreturn]] void throwRefused(const std::string &sentence)
{
    throw base::Error(base::ResultCode::LinkHandshakeRefused, sentence);
}

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

template<typename Table>
std::string frameOf(Table table)
{
    wire::BodyUnion body;
    body.Set(std::move(table));
    return bodyFrame(body);
}

class DialerHandshake : public Handshake
{
public:
    DialerHandshake(HandshakeContext handshakeContext, std::string peerVm)
        : context(std::move(handshakeContext))
        , subject{this->context.cluster, this->context.vm, std::move(peerVm), makeNonce(), {}}
    {
    }

    std::string firstFrame() override
    {
        wire::HelloT hello;
        hello.version = ProtocolVersion;
        hello.cluster = this->context.cluster;
        hello.vm = this->context.vm;
        hello.to_vm = this->subject.acceptorVm;
        hello.nonce = toBytes(this->subject.dialerNonce);
        return frameOf(std::move(hello));
    }

    std::optional<std::string> receive(const std::string &body) override
    {
        const wire::Frame &frame = parseFrame(body);
        if (const wire::Refusal *refusal = frame.body_as_Refusal()) {
            throw base::Error(static_cast<base::ResultCode>(refusal->code()), fmt::format("{} refused the handshake.", this->subject.acceptorVm));
        }
        if (const wire::Challenge *challenge = frame.body_as_Challenge(); challenge != nullptr && this->subject.acceptorNonce.empty()) {
            return this->answerChallenge(*challenge);
        }
        if (const wire::Welcome *welcome = frame.body_as_Welcome(); welcome != nullptr && !this->subject.acceptorNonce.empty()) {
            this->checkWelcome(*welcome);
            return std::nullopt;
        }
        throw base::Error(base::ResultCode::LinkFrameInvalid, fmt::format("{} sent a frame out of order in the handshake.", this->subject.acceptorVm));
    }

    bool peerMayBeComplete() const override
    {
        return !this->subject.acceptorNonce.empty();
    }

    bool complete() const override
    {
        return !this->key.empty();
    }

    const std::string &peerVm() const override
    {
        return this->subject.acceptorVm;
    }

    const std::string &provedKey() const override
    {
        return this->key;
    }

private:
    std::string answerChallenge(const wire::Challenge &challenge)
    {
        this->subject.acceptorNonce = readBytes(challenge.nonce());
        if (this->subject.acceptorNonce.size() != NonceBytes) {
            throwRefused(fmt::format("{} sent a nonce of the wrong size.", this->subject.acceptorVm));
        }
        wire::ProofT proof;
        for (const std::string &candidate : keysOf(this->context.keys)) {
            auto mac = std::make_unique<wire::MacT>();
            mac->bytes = toBytes(computeProof(candidate, ProofRole::Dialer, this->subject));
            proof.macs.push_back(std::move(mac));
        }
        return frameOf(std::move(proof));
    }

    void checkWelcome(const wire::Welcome &welcome)
    {
        const std::string mac = readBytes(welcome.mac());
        for (const std::string &candidate : keysOf(this->context.keys)) {
            if (proofsEqual(mac, computeProof(candidate, ProofRole::Acceptor, this->subject))) {
                this->key = candidate;
                return;
            }
        }
        throwRefused(fmt::format("{} did not prove that it holds a shared key.", this->subject.acceptorVm));
    }

    HandshakeContext context;
    ProofSubject subject;
    std::string key;
};

class AcceptorHandshake : public Handshake
{
public:
    explicit AcceptorHandshake(HandshakeContext handshakeContext)
        : context(std::move(handshakeContext))
        , subject{this->context.cluster, {}, this->context.vm, {}, makeNonce()}
    {
    }

    std::string firstFrame() override
    {
        return {};
    }

    std::optional<std::string> receive(const std::string &body) override
    {
        const wire::Frame &frame = parseFrame(body);
        if (const wire::Hello *hello = frame.body_as_Hello(); hello != nullptr && this->subject.dialerNonce.empty()) {
            return this->answerHello(*hello);
        }
        if (const wire::Proof *proof = frame.body_as_Proof(); proof != nullptr && !this->subject.dialerNonce.empty() && this->key.empty()) {
            return this->answerProof(*proof);
        }
        throw base::Error(base::ResultCode::LinkFrameInvalid, "A dialer sent a frame out of order in the handshake.");
    }

    bool peerMayBeComplete() const override
    {
        return this->complete();
    }

    bool complete() const override
    {
        return !this->key.empty();
    }

    const std::string &peerVm() const override
    {
        return this->subject.dialerVm;
    }

    const std::string &provedKey() const override
    {
        return this->key;
    }

private:
    std::string answerHello(const wire::Hello &hello)
    {
        if (hello.version() != ProtocolVersion) {
            throw base::Error(base::ResultCode::LinkVersionMismatch,
                              fmt::format("A dialer uses protocol version {}; this daemon uses {}.", hello.version(), ProtocolVersion));
        }
        this->subject.dialerVm = readString(hello.vm());
        this->subject.dialerNonce = readBytes(hello.nonce());
        if (readString(hello.cluster()) != this->context.cluster) {
            throwRefused("A dialer belongs to another cluster.");
        }
        if (readString(hello.to_vm()) != this->context.vm) {
            throwRefused("A dialer expects another VM at this address; check the peers' addresses.");
        }
        if (this->subject.dialerVm == this->context.vm || !this->context.knowsPeer(this->subject.dialerVm)) {
            throwRefused("A dialer claims to be a VM that is not a peer.");
        }
        if (this->subject.dialerNonce.size() != NonceBytes) {
            throwRefused("A dialer sent a nonce of the wrong size.");
        }
        wire::ChallengeT challenge;
        challenge.nonce = toBytes(this->subject.acceptorNonce);
        return frameOf(std::move(challenge));
    }

    std::string answerProof(const wire::Proof &proof)
    {
        this->key = this->recognizedKey(proof);
        if (this->key.empty()) {
            throwRefused(fmt::format("A dialer that claims to be {} did not prove that it holds a shared key.", this->subject.dialerVm));
        }
        wire::WelcomeT welcome;
        welcome.mac = toBytes(computeProof(this->key, ProofRole::Acceptor, this->subject));
        return frameOf(std::move(welcome));
    }

    std::string recognizedKey(const wire::Proof &proof) const
    {
        if (proof.macs() == nullptr) {
            return {};
        }
        for (const std::string &candidate : keysOf(this->context.keys)) {
            const std::string expected = computeProof(candidate, ProofRole::Dialer, this->subject);
            for (const wire::Mac *mac : *proof.macs()) {
                if (proofsEqual(readBytes(mac->bytes()), expected)) {
                    return candidate;
                }
            }
        }
        return {};
    }

    HandshakeContext context;
    ProofSubject subject;
    std::string key;
};

} // namespace

std::unique_ptr<Handshake> dialerHandshake(HandshakeContext context, std::string peerVm)
{
    return std::make_unique<DialerHandshake>(std::move(context), std::move(peerVm));
}

std::unique_ptr<Handshake> acceptorHandshake(HandshakeContext context)
{
    return std::make_unique<AcceptorHandshake>(std::move(context));
}

} // namespace cranberryreel::link
