#pragma once

#include "link/LinkHub.h"
#include "link/LinkHubOptions.h"

#include <memory>
#include <string>

namespace cranberryreel::link
{

/// Builds the link hub of a daemon. Used on one thread at startup.
class LinkHubBuilder
{
public:
    LinkHubBuilder &vm(std::string name);
    LinkHubBuilder &cluster(std::string id);

    /// "IP:PORT". Throws base::Error(SettingsBadValue).
    LinkHubBuilder &listen(const std::string &address);

    /// "IP:PORT". Throws base::Error(SettingsBadValue). The own VM may be among the peers and is ignored.
    LinkHubBuilder &peer(std::string name, const std::string &address);
    /// Also accepts VMs that are not listed as peers, once they have proved a shared key.
    LinkHubBuilder &acceptNewcomers();
    LinkHubBuilder &keys(LinkKeys linkKeys);
    LinkHubBuilder &timings(LinkTimings linkTimings);
    LinkHubBuilder &limits(LinkLimits linkLimits);

    /// Throws base::Error(SettingsMissingKey) without VM, cluster, address to listen on or current key, base::Error(SettingsInconsistent) for a peer
    /// that is listed twice.
    std::unique_ptr<LinkHub> build();

private:
    LinkHubOptions options;
};

} // namespace cranberryreel::link
