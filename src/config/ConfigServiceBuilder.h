#pragma once

#include "config/ReplicatedConfigService.h"
#include "settings/Settings.h"

#include <memory>
#include <optional>

namespace cranberryreel::config
{

/// Builds one VM's config service from its settings. Used by one thread, for one build.
class ConfigServiceBuilder
{
public:
    ConfigServiceBuilder &settings(const settings::Settings &daemonSettings);

    /// The hub must outlive the service and must not be started yet.
    ConfigServiceBuilder &hub(link::LinkHub &linkHub);
    ConfigServiceBuilder &timings(const ConfigTimings &configTimings);

    /// Replaces the default factory, which makes a replication::Group on the VM's disk.
    ConfigServiceBuilder &groupFactory(GroupFactory factory);

    /// Throws base::Error(Internal) if settings or hub are missing, and any error of opening the group's folder.
    std::unique_ptr<ReplicatedConfigService> build() const;

private:
    ConfigServiceOptions options() const;
    GroupFactory diskGroupFactory() const;

    std::optional<settings::Settings> deploymentSettings;
    link::LinkHub *links = nullptr;
    ConfigTimings serviceTimings;
    GroupFactory customGroupFactory;
};

} // namespace cranberryreel::config
