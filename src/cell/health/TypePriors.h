#pragma once

#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell::health
{

/// The speeds that are likely for upstreams without samples, by type, in logarithms. Load pattern: speeds go with the type in some deployments and not at all
/// in others, so the types count only where their means differ by more than chance. Owned by the UpstreamSpeeds; made anew for each fit.
class TypePriors
{
public:
    /// Adds the usual speed of an upstream of the type.
    void add(const std::string &type, double logSpeed);

    /// To be called after the last add().
    void compare();

    /// 0 where types do not differ, or the type is unknown.
    double of(const std::string &type) const;

    bool differ() const
    {
        return this->different;
    }

private:
    struct Sums {
        double count = 0;
        double sum = 0;
        double sumOfSquares = 0;
    };

    /// Of the types with enough upstreams.
    std::vector<Sums> comparable() const;

    std::map<std::string, Sums> types;
    bool different = false;
};

} // namespace cranberryreel::cell::health
