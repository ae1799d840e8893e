#pragma once

#include "entry/Dispatcher.h"
#include "zone/ZoneReply.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <string>

namespace cranberryreel::routing
{

/// Joins the answers of all zones to one view. Shared by the calls; answers once the last has come.
class ViewGather
{
public:
    ViewGather(std::string viewName, std::size_t zones, entry::TextDone whenDone);

    void add(const std::string &zone, const zone::ZoneReply &reply);

private:
    std::string what;
    entry::TextDone done;
    absl::Mutex mutex;
    std::size_t left ABSL_GUARDED_BY(mutex);
    base::ResultCode code ABSL_GUARDED_BY(mutex) = base::ResultCode::NoLeader;
    nlohmann::json rows ABSL_GUARDED_BY(mutex) = nlohmann::json::array();
    nlohmann::json unreachable ABSL_GUARDED_BY(mutex) = nlohmann::json::array();
};

} // namespace cranberryreel::routing
