#pragma once

#include <string>

/// Returns a complete valid settings file, which tests change in one place.
inline std::string settingsSample()
{
    return R"([daemon]
vm = rey-a
zone = rey
data_folder = data

[entry]
listen = 127.0.0.1:8101

[link]
listen = 127.0.0.1:7101
key_file = link.key

[peers]
rey-a = 127.0.0.1:7101 zone=rey disk=yes
rey-b = 127.0.0.1:7102 zone=rey
hfj-a = 127.0.0.1:7103 zone=hfj disk=yes
hfj-b = 127.0.0.1:7104 zone=hfj disk=no
akr-a = 127.0.0.1:7105 zone=akr disk=yes

[zone rey]
members = rey-a, rey-b
witness = hfj-a

[zone hfj]
members = hfj-a, hfj-b
witness = akr-a

[zone akr]
members = akr-a

[config_group]
members = rey-a, hfj-a,
    akr-a
)";
}

/// Returns the sample with `piece` replaced; the sample must contain it.
inline std::string settingsSampleWith(const std::string &piece, const std::string &replacement)
{
    std::string text = settingsSample();
    return text.replace(text.find(piece), piece.size(), replacement);
}
