#pragma once

#include "base/Mailbox.h"
#include "config/ReplicatedConfigService.h"
#include "daemon/ZoneMember.h"
#include "entry/EntryServer.h"
#include "link/LinkHub.h"
#include "observe/SpanRing.h"
#include "routing/RoutedDispatcher.h"
#include "routing/ZoneDirectory.h"
#include "settings/Settings.h"
#include "upstream/HttpUpstreamAdapter.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace cranberryreel::daemon
{

/// One entry VM's whole daemon: puts the parts together from the settings, starts and stops them in order. Owned by main.
class Daemon
{
public:
    /// Throws base::Error: what the parts may throw on bad files, folders and ports.
    explicit Daemon(settings::Settings daemonSettings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();

    /// Not ready first, then leadership handed over, then requests in flight finished, within the settings' limit. Returns whether all finished.
    bool stopGracefully();

    /// Reads the link keys anew, for a rotation without a stop.
    void reloadKeys();

private:
    void observe();
    void buildLinks();
    void exportLinkFigures();
    void buildZones();
    void buildEntry();
    void receiveGroupMessages();
    void receiveZoneCalls();
    void sendBeacon(const zone::Beacon &beacon);
    void awaitRequests(std::chrono::milliseconds limit) const;
    bool isReady() const;

    settings::Settings settings;
    std::shared_ptr<observe::SpanRing> spans;
    std::unique_ptr<link::LinkHub> hub;
    std::unique_ptr<upstream::HttpUpstreamAdapter> adapter;
    std::shared_ptr<config::ReplicatedConfigService> configuration;
    routing::ZoneDirectory directory;
    base::Mailbox timers;
    std::map<std::string, std::unique_ptr<ZoneMember>> zones; ///< The groups this VM is a member of, by zone.
    std::unique_ptr<entry::EntryServer> entry;
    bool started = false;
};

} // namespace cranberryreel::daemon
