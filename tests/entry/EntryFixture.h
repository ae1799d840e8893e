#pragma once

#include "config/KeyHash.h"
#include "entry/EntryServerBuilder.h"
#include "http/Client.h"
#include "support/FakeConfigService.h"
#include "support/FakeDispatcher.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

/// An EntryServer on a fake dispatcher and a fake configuration with two partners and an operator, and a client for it.
struct EntryFixture {
    using Json = nlohmann::json;

    EntryFixture()
        : EntryFixture(cranberryreel::entry::EntryOptions())
    {
    }

    explicit EntryFixture(cranberryreel::entry::EntryOptions options)
    {
        options.zone = "z1";
        options.zones = {"z2", "z1", "z3"};
        options.operatorKeyHash = cranberryreel::config::keyHash("root-key");
        options.metricsText = [] { return std::string("cranberryreel_up 1\n"); };
        this->config->addPartner("north", "north-key");
        this->config->addPartner("south", "south-key");
        this->config->addPartner("admin", "admin-key", true);
        this->server = cranberryreel::entry::EntryServerBuilder().options(options).dispatcher(this->dispatcher).configuration(this->config).build();
        this->server->start();
    }

    cranberryreel::http::ClientResponse
    call(const std::string &method, const std::string &target, const std::string &body = "", const std::string &key = "north-key")
    {
        cranberryreel::http::ClientRequest request;
        request.method = method;
        request.host = "127.0.0.1:" + std::to_string(this->server->port());
        request.target = target;
        request.bearerKey = key;
        request.body = body;
        request.limit = std::chrono::seconds(60);
        return this->client.callAndWait(std::move(request));
    }

    /// The result code in the response body, -1 if there is none.
    static int codeOf(const cranberryreel::http::ClientResponse &response)
    {
        const Json json = Json::parse(response.body, nullptr, false);
        return json.is_object() ? json.value("code", -1) : -1;
    }

    static Json requestBody()
    {
        return {{"name", "quote"}, {"cpu_millis", 500}, {"memory_mib", 256}, {"deadline_ms", 2000}};
    }

    std::shared_ptr<cranberryreel::testsupport::FakeDispatcher> dispatcher = std::make_shared<cranberryreel::testsupport::FakeDispatcher>();
    std::shared_ptr<cranberryreel::testsupport::FakeConfigService> config = std::make_shared<cranberryreel::testsupport::FakeConfigService>();
    std::unique_ptr<cranberryreel::entry::EntryServer> server;
    cranberryreel::http::Client client;
};
