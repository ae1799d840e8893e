#pragma once

#include "config/Configuration.h"
#include "config/SectionReader.h"
#include "settings/ProblemList.h"

namespace cranberryreel::config
{

/// Reads the register's sections [vm NAME], [partner NAME] and [service NAME] into a configuration that holds its text. Lives for one read.
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
    void checkKeysDiffer();

    Configuration &configuration;
    settings::ProblemList problems;
};

} // namespace cranberryreel::config
