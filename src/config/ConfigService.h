#pragma once

#include "config/Configuration.h"
#include "cranberryreel/base/ResultCode.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::config
{

enum class ChangePart : std::uint8_t {
    Register,
    Rules,
};

/// An operator's change: the complete new text of one part, based on a stated revision.
struct Change {
    std::string id; ///< Chosen by the operator's tool; a resent change carries the same id.
    std::uint64_t fromRevision = 0;
    ChangePart part = ChangePart::Register;
    std::string text; ///< INI.
};

struct ChangeReply {
    base::ResultCode code = base::ResultCode::Ok; ///< Ok, RevisionConflict, RegisterInvalid, RulesInvalid, ChangeIdReused and others.
    std::string reason;
    std::uint64_t revision = 0; ///< The revision that the change made; on a conflict, the one in force.
    std::vector<std::string> inForceAt; ///< VMs at which that revision is in force when the reply is sent.
};

struct VmRevision {
    std::string vm;
    std::uint64_t revision = 0;
    bool reachable = false;
    bool stale = false;
};

using ChangeDone = std::function<void(ChangeReply)>;
using StatusDone = std::function<void(std::vector<VmRevision>)>;

/// Gives one VM access to the deployment's configuration: the revision in force here, operators' changes and the revisions of all VMs. The revision never
/// decreases.
class ConfigService
{
public:
    virtual ~ConfigService() = default;

    /// The configuration in force at this VM; never null. Any thread, cheap.
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /// Registers a listener that is called for each higher revision, on the service's own thread; it must not block. Before start only.
    virtual void onChange(std::function<void(std::shared_ptr<const Configuration>)> listener) = 0;
    virtual void change(Change change, ChangeDone done) = 0;
    virtual void status(StatusDone done) = 0;
};

} // namespace cranberryreel::config
