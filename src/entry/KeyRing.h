#pragma once

#include "config/ConfigService.h"
#include "entry/Identity.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::entry
{

/// The key in an Authorization header "Bearer KEY"; empty for any other value.
std::string_view bearerKey(std::string_view authorization);

/// Identifies senders by their keys, from the configuration in force. Owned by the EntryServer; any thread.
class KeyRing
{
public:
    KeyRing(std::shared_ptr<config::ConfigService> configuration, std::string operatorKeyHash);

    /// Returns nothing if no partner or operator has the key.
    std::optional<Identity> identify(std::string_view key);

private:
    using IdentityByKeyHash = absl::flat_hash_map<std::string, Identity>;

    std::shared_ptr<const IdentityByKeyHash> currentIdentities();

    std::shared_ptr<config::ConfigService> config;
    std::string operatorHash;
    absl::Mutex mutex;
    std::shared_ptr<const config::Configuration> indexedConfiguration ABSL_GUARDED_BY(mutex);
    std::shared_ptr<const IdentityByKeyHash> identities ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::entry
