#pragma once

#include "cell/CellOptions.h"
#include "settings/SocketAddress.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The checked settings of a VM that serves a cell; docs/SETTINGS.md has the table.
struct CellSettings {
    std::string name; ///< For people and logs.
    std::string logLevel = "info";
    settings::SocketAddress callers; ///< For submitters; not set where this VM serves none.
    settings::SocketAddress readiness;
    settings::SocketAddress control; ///< For upstreams and operators; not set where this VM serves none.
    settings::SocketAddress metrics;
    settings::SocketAddress link;
    std::string linkKey;
    std::vector<settings::SocketAddress> seeds; ///< Control addresses; their hosts name the VMs.
    std::size_t toleratedVms = 1; ///< So many VMs that hold the state may be lost together.
    bool firstStart = false;
    std::string dataFolder; ///< Set: this VM holds the cell's state.
    settings::SocketAddress adviceService;
    std::size_t maxConnections = 1024;
    CellOptions cell;
};

/// Reads and checks a settings file. Throws base::Error(SettingsFileMissing) or the first problem's code, with all problems in the text.
CellSettings loadCellSettings(const std::string &path);

/// The same for a text; `name` opens every line of the errors.
CellSettings parseCellSettings(const std::string &text, const std::string &name);

} // namespace cranberryreel::cell
