#pragma once

#include "config/ConfigStore.h"

#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

/// The oracle: what any correct configuration store answers, in the plainest form.
struct ConfigStoreModel {
    std::uint64_t revision = 0;
    std::string registerText;
    std::string rulesText;
    std::vector<cranberryreel::config::Change> sent; ///< In order of their first sending.
    std::map<std::string, std::pair<cranberryreel::config::Change, cranberryreel::config::ChangeReply>> answered; ///< By change id.

    static bool same(const cranberryreel::config::Change &left, const cranberryreel::config::Change &right)
    {
        return left.id == right.id && left.fromRevision == right.fromRevision && left.part == right.part && left.text == right.text;
    }

    cranberryreel::config::ChangeReply apply(const cranberryreel::config::Change &change)
    {
        using cranberryreel::base::ResultCode;
        if (const auto found = this->answered.find(change.id); found != this->answered.end()) {
            if (!same(found->second.first, change)) {
                return {ResultCode::ChangeIdReused, "", this->revision, {}};
            }
            return found->second.second;
        }
        cranberryreel::config::ChangeReply reply{ResultCode::RevisionConflict, "", this->revision, {}};
        if (change.fromRevision == this->revision) {
            (change.part == cranberryreel::config::ChangePart::Register ? this->registerText : this->rulesText) = change.text;
            reply = {ResultCode::Ok, "", ++this->revision, {}};
        }
        this->sent.push_back(change);
        this->answered[change.id] = {change, reply};
        return reply;
    }
};

/// A store as its group drives it: a log, a snapshot, and the state machine that a restart builds anew from both.
struct ConfigStoreSut {
    using Make = std::function<std::unique_ptr<cranberryreel::replication::StateMachine>()>;

    explicit ConfigStoreSut(Make maker)
        : make(std::move(maker))
        , machine(make())
    {
    }

    cranberryreel::config::ChangeReply apply(const cranberryreel::config::Change &change)
    {
        this->log.push_back(cranberryreel::config::ConfigStore::command(change));
        return cranberryreel::config::ConfigStore::reply(this->machine->apply(++this->index, this->log.back()));
    }

    void compact()
    {
        this->compacted = this->machine->snapshot();
        this->log.clear();
    }

    void restart()
    {
        this->machine = this->make();
        if (!this->compacted.empty()) {
            this->machine->restore(this->compacted);
        }
        std::uint64_t replayed = this->index - this->log.size();
        for (const std::string &command : this->log) {
            this->machine->apply(++replayed, command);
        }
    }

    Make make;
    std::unique_ptr<cranberryreel::replication::StateMachine> machine;
    std::uint64_t index = 0;
    std::string compacted;
    std::vector<std::string> log;
};
