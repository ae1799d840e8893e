#pragma once

#include "config/Configuration.h"
#include "config/SectionReader.h"
#include "settings/ProblemList.h"

namespace cranberryreel::config
{

/// Parses the sections [vm NAME], [partner NAME] and [service NAME] of a configuration's register text into that configuration. Used for one parse.
class RegisterReader
{
public:
    explicit RegisterReader(Configuration &configuration);

    /// Throws base::Error(RegisterInvalid).
    void run();

private:
    using ReadSection = void (RegisterReader::*)(SectionReader &section);

    void readVm(SectionReader &section);
    void readPartner(SectionReader &section);
    void readService(SectionReader &section);
    void checkKeysUnique();

    Configuration &configuration;
    settings::ProblemList problems;
};

} // namespace cranberryreel::config
