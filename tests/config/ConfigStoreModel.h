#pragma once

#include "config/ConfigStore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

/// Reference model of the configuration store, in its simplest form.
struct ConfigStoreModel {
    std::uint64_t revision = 0;
    std::string registerText;
    std::string rulesText;
    std::vector<cranberryreel::config::RevisionTexts> history{{}}; ///< By revision.
    std::vector<cranberryreel::config::Change> sent; ///< In order of their first sending.
    std::map<std::string, std::pair<cranberryreel::config::Change, cranberryreel::config::ChangeReply>> answered; ///< By change id.

    static bool isSameChange(const cranberryreel::config::Change &left, const cranberryreel::config::Change &right)
    {
        return left.id == right.id && left.fromRevision == right.fromRevision && left.part == right.part && left.text == right.text;
    }

    cranberryreel::config::ChangeReply apply(const cranberryreel::config::Change &change)
    {
        using cranberryreel::base::ResultCode;
        if (const auto found = this->answered.find(change.id); found != this->answered.end()) {
            if (!isSameChange(found->second.first, change)) {
                return {ResultCode::ChangeIdReused, "", this->revision, {}};
            }
            return found->second.second;
        }
        cranberryreel::config::ChangeReply reply{ResultCode::RevisionConflict, "", this->revision, {}};
        if (change.fromRevision == this->revision) {
            (change.part == cranberryreel::config::ChangePart::Register ? this->registerText : this->rulesText) = change.text;
            reply = {ResultCode::Ok, "", ++this->revision, {}};
            this->history.push_back({this->revision, this->registerText, this->rulesText});
        }
        this->sent.push_back(change);
        this->answered[change.id] = {change, reply};
        return reply;
    }

    /// The leader's texts when it proposed the change; the change may be applied after others based on the same revision.
    cranberryreel::config::RevisionTexts textsAtProposal(const cranberryreel::config::Change &change) const
    {
        return this->history[std::min<std::size_t>(change.fromRevision, this->history.size() - 1)];
    }
};

/// A store driven as by its group: a log, a snapshot, and a state machine that a restart rebuilds from both.
struct ConfigStoreSut {
    using Make = std::function<std::unique_ptr<cranberryreel::replication::StateMachine>()>;

    explicit ConfigStoreSut(Make maker)
        : make(std::move(maker))
        , machine(make())
    {
    }

    /// `now` holds the leader's texts when it proposes the change.
    cranberryreel::config::ChangeReply apply(const cranberryreel::config::Change &change, const cranberryreel::config::RevisionTexts &now)
    {
        this->log.push_back(cranberryreel::config::ConfigStore::encodeCommand(change, now));
        return cranberryreel::config::ConfigStore::decodeReply(this->machine->apply(++this->index, this->log.back()));
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
