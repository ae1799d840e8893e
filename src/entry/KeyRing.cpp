#include "entry/KeyRing.h"

#include "config/KeyHash.h"

namespace cranberryreel::entry
{

std::string_view bearerKey(std::string_view authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    return authorization.substr(0, Scheme.size()) == Scheme ? authorization.substr(Scheme.size()) : std::string_view();
}

KeyRing::KeyRing(std::shared_ptr<config::ConfigService> configuration, std::string operatorKeyHash)
    : config(std::move(configuration))
    , operatorHash(std::move(operatorKeyHash))
{
}

std::optional<Identity> KeyRing::identify(std::string_view key)
{
    if (key.empty()) {
        return std::nullopt;
    }
    const std::string hash = config::keyHash(key);
    if (!this->operatorHash.empty() && hash == this->operatorHash) {
        return Identity{"", true};
    }
    const std::shared_ptr<const IdentityByKeyHash> keys = this->currentIdentities();
    const auto found = keys->find(hash);
    return found == keys->end() ? std::nullopt : std::optional<Identity>(found->second);
}

std::shared_ptr<const KeyRing::IdentityByKeyHash> KeyRing::currentIdentities()
{
    const std::shared_ptr<const config::Configuration> current = this->config->current();
    absl::MutexLock lock(&this->mutex);
    if (this->indexedConfiguration != current) {
        auto rebuilt = std::make_shared<IdentityByKeyHash>();
        for (const auto &[name, partner] : current->partners) {
            rebuilt->emplace(partner.keyHash, Identity{name, partner.isOperator});
        }
        this->identities = std::move(rebuilt);
        this->indexedConfiguration = current;
    }
    return this->identities;
}

} // namespace cranberryreel::entry
