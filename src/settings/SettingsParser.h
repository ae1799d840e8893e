#pragma once

#include "settings/IniDocument.h"
#include "settings/Settings.h"
#include "settings/SettingsTable.h"

#include <string>

namespace cranberryreel::settings
{

/// Converts one INI document to Settings: reads the keys of the settings table, then peers and zones, then checks the consistency between keys. Used for one
/// parse; adds every problem to the given list.
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
    void reportUnknownKeys();
    void checkPeers();
    void checkZones();
    void checkConfigGroup();
    void checkTiming();
    void addInconsistency(const std::string &section, const std::string &key, const std::string &message);

    const IniDocument &document;
    ProblemList &problems;
    Settings settings;
};

} // namespace cranberryreel::settings
