#pragma once

#include "entry/Dispatcher.h"
#include "zone/ZoneReply.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <string>

namespace cranberryreel::routing
{

/// Joins the replies of all zones into one view. Shared by the calls to the zones; answers when the last reply has arrived. Any thread.
class ViewCollector
{
public:
    ViewCollector(std::string collectedView, std::size_t zones, entry::TextDone whenDone);

    /// Adds the reply of one zone; called once per zone.
    void add(const std::string &zone, const zone::ZoneReply &reply);

private:
    std::string viewName;
    entry::TextDone done;
    absl::Mutex mutex;
    std::size_t pendingZones ABSL_GUARDED_BY(mutex);
    base::ResultCode code ABSL_GUARDED_BY(mutex) = base::ResultCode::NoLeader;
    nlohmann::json rows ABSL_GUARDED_BY(mutex) = nlohmann::json::array();
    nlohmann::json unreachable ABSL_GUARDED_BY(mutex) = nlohmann::json::array();
};

} // namespace cranberryreel::routing
