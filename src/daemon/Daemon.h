#pragma once

#include "base/Mailbox.h"
#include "config/ReplicatedConfigService.h"
#include "daemon/ZoneMember.h"
#include "entry/EntryServer.h"
#include "link/LinkHub.h"
#include "observe/SpanRing.h"
#include "replication/Group.h"
#include "routing/RoutedDispatcher.h"
#include "routing/ZoneDirectory.h"
#include "settings/Settings.h"
#include "upstream/HttpUpstreamAdapter.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryreel::daemon
{

/// The daemon of one entry VM. Creates all components from the settings and starts and stops them in order. Owned and used by main's thread.
class Daemon
{
public:
    /// Throws base::Error if a component rejects a file, folder or port.
    explicit Daemon(settings::Settings daemonSettings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();

    /// Stops in order: reports not ready, transfers leadership, then waits for requests in flight up to daemon.stop_limit_ms. Returns true if all of them
    /// finished.
    bool stopGracefully();

    /// Reloads the link keys, so that keys can be rotated without a restart.
    void reloadKeys();

private:
    void setUpTracing();
    void buildLinks();
    void registerLinkMetrics();
    void registerGroupMetrics(const std::string &group, const std::function<replication::GroupStatus()> &status);
    void buildZones();
    void buildEntry();
    void registerMessageHandlers();
    void registerZoneCallHandler();
    void sendBeacon(const zone::Beacon &beacon);
    void awaitRequestsInFlight(std::chrono::milliseconds limit) const;
    bool isReady() const;

    settings::Settings settings;
    std::shared_ptr<observe::SpanRing> spans;
    std::unique_ptr<link::LinkHub> hub;
    std::unique_ptr<upstream::HttpUpstreamAdapter> adapter;
    std::shared_ptr<config::ReplicatedConfigService> configuration;
    routing::ZoneDirectory directory;
    base::Mailbox timers;
    std::map<std::string, std::unique_ptr<ZoneMember>> zones; ///< The zone groups that this VM is a member of, by zone.
    std::unique_ptr<entry::EntryServer> entry;
    bool started = false;
};

} // namespace cranberryreel::daemon
