#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <string>
#include <vector>

namespace cranberryreel::entry
{

/// Chooses the home zone of a piece of work, and creates job ids that contain it. The zone is the one that the work's key names or hashes to, the same on every
/// entry VM, or the VM's own zone if there is no key. A value; any thread.
class HomeZone
{
public:
    HomeZone(std::string ownZone, std::vector<std::string> allZones);

    /// The home zone of a partner's work with this key; a key "ZONE:..." names a known zone.
    std::string zoneFor(const std::string &partner, const std::string &key) const;

    /// Creates a random id "<zone>-<16 hex digits>".
    static model::JobId newJobId(const std::string &zone);

    /// The zone contained in an id; empty if the text is not a valid id.
    static std::string zoneFromId(const std::string &id);

private:
    std::string own;
    std::vector<std::string> zones; ///< Sorted.
};

} // namespace cranberryreel::entry
