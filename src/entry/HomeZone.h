#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <string>
#include <vector>

namespace cranberryreel::entry
{

/// Chooses the availability zone that keeps a piece of work: the one its key names or hashes to, the same at every entry VM; the own zone without a key.
/// Gives ids. A value; any thread.
class HomeZone
{
public:
    HomeZone(std::string ownZone, std::vector<std::string> allZones);

    std::string of(const std::string &partner, const std::string &key) const;

    /// "<zone>-<16 hex digits>", random.
    static model::JobId newId(const std::string &zone);

    /// The zone in an id; empty when the text is no id.
    static std::string zoneIn(const std::string &id);

private:
    std::string own;
    std::vector<std::string> zones; ///< Sorted.
};

} // namespace cranberryreel::entry
