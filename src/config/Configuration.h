#pragma once

#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::config
{

struct RegisterVm {
    std::string vm;
    std::string zone;
    std::string rack;
    model::Resources capacity;
};

struct RegisterPartner {
    std::string partner;
    std::string keyHash; ///< SHA-256 of the bearer key, lower-case hex.
    bool isOperator = false;
};

/// Share, quota and limits of one partner or quota group.
struct PartnerRules {
    std::string partner;
    double weight = 1.0;
    std::string parent; ///< Parent quota group; empty at the top.
    model::Resources quota; ///< 0 in a dimension: no limit.
    bool mayBorrow = true;
    std::uint32_t maxQueued = 10000;
    std::vector<std::string> services; ///< Services that the partner may use; empty means all.
};

/// One revision of register and rules. Immutable; shared by pointer between threads.
struct Configuration {
    std::uint64_t revision = 0;
    std::map<std::string, RegisterVm> vms;
    std::map<std::string, RegisterPartner> partners; ///< By partner name.
    std::vector<std::string> services;
    std::string profile = "waiting_time"; ///< "waiting_time" or "packing".
    std::chrono::milliseconds giveBackWithin{60000};
    std::map<std::string, PartnerRules> rules; ///< Rules of partners and quota groups, by name; a name that is not in `partners` is a group.
    std::string registerText; ///< The INI text as loaded.
    std::string rulesText;
};

} // namespace cranberryreel::config
