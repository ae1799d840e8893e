#pragma once

#include "entry/EntryServer.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::entry
{

/// Creates an EntryServer. The dispatcher and the configuration are required.
class EntryServerBuilder
{
public:
    EntryServerBuilder &options(EntryOptions value)
    {
        this->entryOptions = std::move(value);
        return *this;
    }

    EntryServerBuilder &dispatcher(std::shared_ptr<Dispatcher> value)
    {
        this->workDispatcher = std::move(value);
        return *this;
    }

    EntryServerBuilder &configuration(std::shared_ptr<config::ConfigService> value)
    {
        this->configService = std::move(value);
        return *this;
    }

    std::unique_ptr<EntryServer> build()
    {
        return std::make_unique<EntryServer>(this->entryOptions, this->workDispatcher, this->configService);
    }

private:
    EntryOptions entryOptions;
    std::shared_ptr<Dispatcher> workDispatcher;
    std::shared_ptr<config::ConfigService> configService;
};

} // namespace cranberryreel::entry
