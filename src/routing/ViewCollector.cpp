#include "routing/ViewCollector.h"

#include <utility>

namespace cranberryreel::routing
{

ViewCollector::ViewCollector(std::string collectedView, std::size_t zones, entry::TextDone whenDone)
    : viewName(std::move(collectedView))
    , done(std::move(whenDone))
    , pendingZones(zones)
{
}

void ViewCollector::add(const std::string &zone, const zone::ZoneReply &reply)
{
    nlohmann::json out;
    base::ResultCode result;
    {
        absl::MutexLock lock(&this->mutex);
        if (reply.code == base::ResultCode::Ok) {
            this->code = base::ResultCode::Ok;
            const nlohmann::json part = nlohmann::json::parse(reply.json, nullptr, false);
            if (part.is_array()) {
                this->rows.insert(this->rows.end(), part.begin(), part.end());
            }
        } else if (reply.code == base::ResultCode::NoLeader) {
            this->unreachable.push_back(zone);
        } else if (this->code != base::ResultCode::Ok) {
            this->code = reply.code;
        }
        this->pendingZones -= 1;
        if (this->pendingZones > 0) {
            return;
        }
        out = {{this->viewName, std::move(this->rows)}, {"unreachable_zones", std::move(this->unreachable)}};
        result = this->code;
    }
    this->done(result, out.dump());
}

} // namespace cranberryreel::routing
