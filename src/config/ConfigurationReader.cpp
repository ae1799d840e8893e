#include "config/ConfigurationReader.h"

#include "config/RegisterReader.h"
#include "config/RulesReader.h"

namespace cranberryreel::config
{

std::shared_ptr<const Configuration> readConfiguration(std::uint64_t revision, const std::string &registerText, const std::string &rulesText)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = revision;
    configuration->registerText = registerText;
    configuration->rulesText = rulesText;
    RegisterReader(*configuration).run();
    RulesReader(*configuration).run();
    return configuration;
}

} // namespace cranberryreel::config
