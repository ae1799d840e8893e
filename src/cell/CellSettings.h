#pragma once

#include "cell/CellOptions.h"
#include "settings/SocketAddress.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The validated settings of a VM of a cell; docs/SETTINGS.md lists them.
struct CellSettings {
    std::string name; ///< Name of the VM for people and logs.
    std::string logLevel = "info";
    settings::SocketAddress callers; ///< Listens to submitters; not set if this VM serves none.
    settings::SocketAddress readiness;
    settings::SocketAddress control; ///< Listens to upstreams and operators; not set if this VM serves none.
    settings::SocketAddress metrics;
    settings::SocketAddress link;
    std::string linkKey;
    std::vector<settings::SocketAddress> seeds; ///< Only the hosts are used; they name the VMs.
    std::size_t toleratedVms = 1; ///< Number of VMs with state that may fail at the same time.
    std::chrono::milliseconds catchUp{4000}; ///< Within this time a VM that returned, or the successor of a lost one, must count again.
    bool firstStart = false;
    std::string dataFolder; ///< If set, this VM holds the cell's state.
    settings::SocketAddress adviceService;
    std::size_t maxConnections = 1024;
    CellOptions cell;
};

/// Reads and validates a settings file. Throws base::Error with SettingsFileMissing, or with the code of the first problem and a text that lists all problems.
CellSettings loadCellSettings(const std::string &path);

/// As loadCellSettings(), for a text; `name` starts each line of the error text.
CellSettings parseCellSettings(const std::string &text, const std::string &name);

} // namespace cranberryreel::cell
