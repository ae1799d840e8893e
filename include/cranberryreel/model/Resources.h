#pragma once

#include <algorithm>
#include <cstdint>

namespace cranberryreel::model
{

/// An amount of each resource that a VM can run out of. A small value type that is copied freely.
struct Resources {
    std::int64_t cpuMillis = 0; ///< Thousandths of a processor core.
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0; ///< Whole devices.

    bool fitsIn(const Resources &available) const
    {
        return this->cpuMillis <= available.cpuMillis && this->memoryMiB <= available.memoryMiB && this->accelerators <= available.accelerators;
    }

    bool isZero() const
    {
        return this->cpuMillis == 0 && this->memoryMiB == 0 && this->accelerators == 0;
    }

    Resources &operator+=(const Resources &other)
    {
        this->cpuMillis += other.cpuMillis;
        this->memoryMiB += other.memoryMiB;
        this->accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        this->cpuMillis -= other.cpuMillis;
        this->memoryMiB -= other.memoryMiB;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources &right)
    {
        return left += right;
    }

    friend Resources operator-(Resources left, const Resources &right)
    {
        return left -= right;
    }

    friend bool operator==(const Resources &left, const Resources &right)
    {
        return left.cpuMillis == right.cpuMillis && left.memoryMiB == right.memoryMiB && left.accelerators == right.accelerators;
    }

    friend bool operator!=(const Resources &left, const Resources &right)
    {
        return !(left == right);
    }

    /// The larger of the two values of each resource.
    static Resources larger(const Resources &left, const Resources &right)
    {
        return {std::max(left.cpuMillis, right.cpuMillis), std::max(left.memoryMiB, right.memoryMiB), std::max(left.accelerators, right.accelerators)};
    }

    /// The smaller of the two values of each resource.
    static Resources smaller(const Resources &left, const Resources &right)
    {
        return {std::min(left.cpuMillis, right.cpuMillis), std::min(left.memoryMiB, right.memoryMiB), std::min(left.accelerators, right.accelerators)};
    }
};

} // namespace cranberryreel::model
