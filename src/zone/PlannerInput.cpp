#include "zone/PlannerInput.h"

namespace cranberryreel::zone
{

policy::RulesView toRulesView(const config::Configuration &configuration)
{
    policy::RulesView rules;
    rules.profile = configuration.profile == "packing" ? policy::Profile::Packing : policy::Profile::WaitingTime;
    rules.giveBackWithin = configuration.giveBackWithin;
    for (const auto &[name, partner] : configuration.rules) {
        rules.partners.push_back({name, partner.weight, partner.parent, partner.quota, partner.mayBorrow, partner.maxQueued});
    }
    for (const auto &[name, partner] : configuration.partners) {
        if (configuration.rules.count(name) == 0) {
            policy::PartnerView plain;
            plain.partner = name;
            rules.partners.push_back(plain);
        }
    }
    return rules;
}

std::vector<policy::VmView> toVmViews(const config::Configuration &configuration, const std::string &zone, const std::set<std::string> &draining)
{
    std::vector<policy::VmView> vms;
    for (const auto &[name, vm] : configuration.vms) {
        if (vm.zone == zone) {
            vms.push_back({name, vm.rack, vm.capacity, draining.count(name) > 0});
        }
    }
    return vms;
}

} // namespace cranberryreel::zone
