#pragma once

#include "settings/IniDocument.h"
#include "settings/Settings.h"
#include "settings/SettingsTable.h"

#include <string>

namespace cranberryreel::settings
{

/// Turns one INI document into Settings: keys by the table, then peers and zones, then the checks across keys. Lives for one parse; every problem goes
/// into the list it was given.
class SettingsParser
{
public:
    SettingsParser(const IniDocument &document, ProblemList &problems);

    Settings run();

private:
    void readTable();
    void readField(const SettingKey &row, const IniEntry &entry);
    void readPeers();
    void readPeer(const IniSection &section, const IniEntry &entry);
    void readZones();
    void refuseUnknown();
    void checkPeers();
    void checkZones();
    void checkConfigGroup();
    void checkTiming();
    void inconsistent(const std::string &section, const std::string &key, const std::string &sentence);

    const IniDocument &document;
    ProblemList &problems;
    Settings settings;
};

} // namespace cranberryreel::settings
