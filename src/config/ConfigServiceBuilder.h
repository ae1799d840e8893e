#pragma once

#include "config/ReplicatedConfigService.h"
#include "settings/Settings.h"

#include <memory>
#include <optional>

namespace cranberryreel::config
{

/// Builds one VM's config service from its settings. Owned by whoever starts the daemon, for as long as it takes to build.
class ConfigServiceBuilder
{
public:
    ConfigServiceBuilder &settings(const settings::Settings &daemonSettings);

    /// Must outlive the service, and not be started yet.
    ConfigServiceBuilder &hub(link::LinkHub &linkHub);
    ConfigServiceBuilder &timings(const ConfigTimings &configTimings);

    /// In place of a replication::Group on the VM's disk.
    ConfigServiceBuilder &groupFactory(GroupFactory factory);

    /// Throws base::Error: Internal without settings or hub, and what the group's folder may throw.
    std::unique_ptr<ReplicatedConfigService> build() const;

private:
    ConfigServiceOptions options() const;
    GroupFactory diskGroup() const;

    std::optional<settings::Settings> given;
    link::LinkHub *links = nullptr;
    ConfigTimings serviceTimings;
    GroupFactory ownFactory;
};

} // namespace cranberryreel::config
