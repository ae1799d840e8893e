#pragma once

#include "base/Mailbox.h"
#include "entry/Dispatcher.h"
#include "link/LinkHub.h"
#include "routing/LeaderCall.h"
#include "routing/RoutingOptions.h"
#include "routing/ZoneChooser.h"
#include "routing/ZoneDirectory.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace cranberryreel::routing
{

/// Dispatches requests of an entry VM to the zone schedulers: chooses the zone, calls its leader, and reports only outcomes that are proved. Owned by the
/// daemon; any thread.
class RoutedDispatcher : public entry::Dispatcher
{
public:
    RoutedDispatcher(RoutingOptions routingOptions, link::LinkHub &linkHub, ZoneDirectory &zoneDirectory, base::Mailbox &timers);

    void submit(model::JobSpec spec, const std::string &traceparent, entry::DispatchDone done) override;
    void lookup(const model::JobId &id, std::chrono::milliseconds wait, const std::string &traceparent, entry::DispatchDone done) override;
    void cancel(const model::JobId &id, const std::string &traceparent, entry::DispatchDone done) override;
    void announce(model::UpstreamReport report, entry::AnnounceDone done) override;
    void view(const std::string &what, const std::string &filter, entry::TextDone done) override;
    void drain(const std::string &vm, bool draining, entry::TextDone done) override;
    void changeMembers(const std::string &zone, const std::vector<std::string> &vms, const std::string &witness, entry::TextDone done) override;

private:
    struct Submission;

    void submitTo(const std::shared_ptr<Submission> &submission, const std::string &zone);
    void handleSubmitReply(const std::shared_ptr<Submission> &submission, const zone::ZoneReply &reply);
    /// Submits the work to another zone if it provably did not run and the refusal depends on the zone. Returns false if no other zone is tried.
    bool trySpill(const std::shared_ptr<Submission> &submission, const zone::ZoneReply &reply);
    void deliverReply(const zone::ZoneReply &reply, const std::string &zone, const std::string &traceparent, const entry::DispatchDone &done);
    void callLeader(const std::string &zone, zone::CallBody body, std::chrono::milliseconds limit, const std::string &traceparent, LeaderReplyCallback done);

    RoutingOptions options;
    link::LinkHub &hub;
    ZoneDirectory &directory;
    base::Mailbox &timers;
    ZoneChooser chooser;
};

} // namespace cranberryreel::routing
