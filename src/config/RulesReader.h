#pragma once

#include "config/Configuration.h"
#include "config/SectionReader.h"
#include "settings/ProblemList.h"

#include <set>
#include <string>

namespace cranberryreel::config
{

/// Reads the rules' sections [scheduling], [partner NAME] and [group NAME] into a configuration whose register has been read. Lives for one read.
class RulesReader
{
public:
    explicit RulesReader(Configuration &configuration);

    /// Throws base::Error(RulesInvalid).
    void run();

private:
    using ReadSection = void (RulesReader::*)(SectionReader &section);

    void readScheduling(SectionReader &section);
    void readPartner(SectionReader &section);
    void readGroup(SectionReader &section);
    PartnerRules readShare(SectionReader &section);
    void checkParents();

    Configuration &configuration;
    settings::ProblemList problems;
    std::set<std::string> groups;
};

} // namespace cranberryreel::config
