#pragma once

#include "config/Configuration.h"
#include "config/SectionReader.h"
#include "settings/ProblemList.h"

#include <set>
#include <string>

namespace cranberryreel::config
{

/// Parses the sections [scheduling], [partner NAME] and [group NAME] of a configuration's rules text into that configuration, whose register must be parsed
/// already. Used for one parse.
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
    PartnerRules readSharedKeys(SectionReader &section);
    void checkParents();

    Configuration &configuration;
    settings::ProblemList problems;
    std::set<std::string> groups;
};

} // namespace cranberryreel::config
