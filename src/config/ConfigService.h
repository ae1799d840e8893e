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

/// An operator's change: the whole new text of one part, made from a stated revision.
struct Change {
    std::string id; ///< Chosen by the operator's tool; a resend carries the same.
    std::uint64_t fromRevision = 0;
    ChangePart part = ChangePart::Register;
    std::string text; ///< INI.
};

struct ChangeReply {
    base::ResultCode code = base::ResultCode::Ok; ///< Ok, RevisionConflict (revision tells the winner), RegisterInvalid, RulesInvalid, ChangeIdReused, ...
    std::string reason;
    std::uint64_t revision = 0; ///< The revision the change made, or the one in force on a conflict.
    std::vector<std::string> inForceAt; ///< VMs that serve on it by the time of the answer.
};

struct VmRevision {
    std::string vm;
    std::uint64_t revision = 0;
    bool reachable = false;
    bool stale = false;
};

using ChangeDone = std::function<void(ChangeReply)>;
using StatusDone = std::function<void(std::vector<VmRevision>)>;

/// One VM's side of the configuration: what is in force here, and the way for operators' changes. It only ever moves to a higher revision.
class ConfigService
{
public:
    virtual ~ConfigService() = default;

    /// The configuration in force at this VM; never null. Any thread, cheap.
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /// Called on each move to a higher revision, on an inner thread; must not block. Before start only.
    virtual void onChange(std::function<void(std::shared_ptr<const Configuration>)> listener) = 0;
    virtual void change(Change change, ChangeDone done) = 0;
    virtual void status(StatusDone done) = 0;
};

} // namespace cranberryreel::config
