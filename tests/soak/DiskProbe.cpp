#include "soak/DiskProbe.h"

#include <fcntl.h>
#include <unistd.h>

namespace cranberryreel::soak
{

namespace
{

constexpr std::chrono::milliseconds WriteInterval{20};
/// Half of the time after which a member of the cell gives up its part because its disk does not answer.
constexpr std::chrono::milliseconds LongestWrite{500};

} // namespace

DiskProbe::DiskProbe()
    : thread([this] { this->run(); })
{
}

DiskProbe::~DiskProbe()
{
    this->stopped = true;
    this->thread.join();
}

DiskProbe::SteadyTime DiskProbe::lastStall() const
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const absl::MutexLock lock(&this->mutex);
    return now - this->lastWrite > LongestWrite ? now : this->stallEnd;
}

void DiskProbe::run()
{
    const int file = ::open((this->folder.name() + "/probe").c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    while (!this->stopped) {
        std::this_thread::sleep_for(WriteInterval);
        // A disk that refuses the probe's write is no stall.
        if (::write(file, "x", 1) == 1) {
            ::fdatasync(file);
        }
        const SteadyTime now = std::chrono::steady_clock::now();
        const absl::MutexLock lock(&this->mutex);
        this->stallEnd = now - this->lastWrite > LongestWrite ? now : this->stallEnd;
        this->lastWrite = now;
    }
    ::close(file);
}

} // namespace cranberryreel::soak
