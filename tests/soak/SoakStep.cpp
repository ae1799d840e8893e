#include "soak/SoakStep.h"

namespace cranberryreel::soak
{

const char *nameOf(Action action)
{
    // In the order of Action.
    static const char *const names[] = {"kill",
                                        "start",
                                        "freeze",
                                        "thaw",
                                        "terminate",
                                        "reload",
                                        "fill_disk",
                                        "free_disk",
                                        "wipe",
                                        "remove",
                                        "succeed",
                                        "power_loss",
                                        "power_back",
                                        "drain",
                                        "vanish",
                                        "crash_upstream",
                                        "restart_upstream",
                                        "cut_upstream",
                                        "rejoin_upstream"};
    return names[static_cast<std::size_t>(action)];
}

} // namespace cranberryreel::soak
