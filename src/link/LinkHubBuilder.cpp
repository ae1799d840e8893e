#include "link/LinkHubBuilder.h"

#include "link/TcpLinkHub.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cranberryreel::link
{

namespace
{

void require(bool present, const char *what)
{
    if (!present) {
        throw base::Error(base::ResultCode::SettingsMissingKey, fmt::format("The link settings lack {}.", what));
    }
}

void requireDistinctPeers(const std::vector<Peer> &peers)
{
    std::set<std::string> seen;
    for (const Peer &peer : peers) {
        if (!seen.insert(peer.vm).second) {
            throw base::Error(base::ResultCode::SettingsInconsistent, fmt::format("Peer {} is listed twice.", peer.vm));
        }
    }
}

} // namespace

LinkHubBuilder &LinkHubBuilder::vm(std::string name)
{
    this->options.vm = std::move(name);
    return *this;
}

LinkHubBuilder &LinkHubBuilder::cluster(std::string id)
{
    this->options.cluster = std::move(id);
    return *this;
}

LinkHubBuilder &LinkHubBuilder::listen(const std::string &address)
{
    this->options.listen = Endpoint::parse(address);
    return *this;
}

LinkHubBuilder &LinkHubBuilder::peer(std::string name, const std::string &address)
{
    this->options.peers.push_back({std::move(name), Endpoint::parse(address)});
    return *this;
}

LinkHubBuilder &LinkHubBuilder::acceptNewcomers()
{
    this->options.acceptNewcomers = true;
    return *this;
}

LinkHubBuilder &LinkHubBuilder::keys(LinkKeys linkKeys)
{
    this->options.keys = std::move(linkKeys);
    return *this;
}

LinkHubBuilder &LinkHubBuilder::timings(LinkTimings linkTimings)
{
    this->options.timings = linkTimings;
    return *this;
}

LinkHubBuilder &LinkHubBuilder::limits(LinkLimits linkLimits)
{
    this->options.limits = linkLimits;
    return *this;
}

std::unique_ptr<LinkHub> LinkHubBuilder::build()
{
    require(!this->options.vm.empty(), "the own VM's name");
    require(!this->options.cluster.empty(), "the cluster's id");
    require(!this->options.listen.ip.empty(), "an address to listen on");
    require(!this->options.keys.current.empty(), "a current key");
    requireDistinctPeers(this->options.peers);
    LinkHubOptions own = this->options;
    const auto isOwn = [&own](const Peer &peer) { return peer.vm == own.vm; };
    own.peers.erase(std::remove_if(own.peers.begin(), own.peers.end(), isOwn), own.peers.end());
    return std::make_unique<TcpLinkHub>(std::move(own));
}

} // namespace cranberryreel::link
