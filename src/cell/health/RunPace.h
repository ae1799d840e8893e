#pragma once

#include <chrono>
#include <optional>

namespace cranberryreel::cell::health
{

/// Measures how long one run takes in all, from the progress that it reported lately and from its completion. Only the last second counts, so that a run whose
/// upstream becomes slow shows it before it ends. Owned by the run's RunSample.
class RunPace
{
public:
    /// Returns the logarithm of the milliseconds that the whole run would take at its recent pace; nothing until enough progress was reported.
    std::optional<double> recordProgress(int percent, std::chrono::milliseconds elapsed);

    /// The same for a run that is done, `duration` after its start.
    double recordCompletion(std::chrono::milliseconds duration) const;

private:
    struct Report {
        int percent = 0;
        std::chrono::milliseconds elapsed{0};
    };

    std::optional<Report> last; ///< The report at which the present interval began.
    std::optional<Report> previous; ///< The one at which the interval before that began.
};

} // namespace cranberryreel::cell::health
