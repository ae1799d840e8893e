#pragma once

#include "CannedViews.h"
#include "support/FakeConfigService.h"
#include "support/FreePort.h"

#include "cli/Tool.h"
#include "config/KeyHash.h"
#include "entry/EntryServerBuilder.h"
#include "observe/SpanRing.h"

#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

/// Runs the tool against a real entry server whose dispatcher and configuration are fakes.
struct ToolFixture {
    ToolFixture()
    {
        cranberryreel::entry::EntryOptions options;
        options.zone = "rey";
        options.zones = {"rey"};
        options.operatorKeyHash = cranberryreel::config::keyHash("root-key");
        options.spans = [this](const std::string &id) { return this->spans->otlpJson(id); };
        this->config->addPartner("agents", "agents-key");
        this->server = cranberryreel::entry::EntryServerBuilder().options(options).dispatcher(this->dispatcher).configuration(this->config).build();
        this->server->start();
        this->folder = std::string(CRANBERRYREEL_BINARY_DIR) + "/cli-test";
        std::filesystem::create_directories(this->folder);
        this->partnerKey = this->writeFile("agents.key", "agents-key\n");
        this->operatorKey = this->writeFile("root.key", "root-key\n");
    }

    std::string writeFile(const std::string &name, const std::string &text) const
    {
        std::string path = this->folder + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    std::string entryAddress() const
    {
        return "127.0.0.1:" + std::to_string(this->server->port());
    }

    int runCommandLine(const std::vector<std::string> &words, const std::string &input = "")
    {
        std::istringstream in(input);
        std::ostringstream outStream;
        std::ostringstream errStream;
        const int code = cranberryreel::cli::Tool({in, outStream, errStream, false}).run(words);
        this->out = outStream.str();
        this->err = errStream.str();
        return code;
    }

    int runAs(const std::string &keyFile, std::vector<std::string> words)
    {
        words.insert(words.end(), {"--entry", this->entryAddress(), "--key-file", keyFile});
        return this->runCommandLine(words);
    }

    int run(const std::vector<std::string> &words)
    {
        return this->runAs(this->partnerKey, words);
    }

    int runAsOperator(const std::vector<std::string> &words)
    {
        return this->runAs(this->operatorKey, words);
    }

    bool outContains(const std::string &text) const
    {
        return this->out.find(text) != std::string::npos;
    }

    bool errContains(const std::string &text) const
    {
        return this->err.find(text) != std::string::npos;
    }

    std::shared_ptr<CannedViews> dispatcher = std::make_shared<CannedViews>();
    std::shared_ptr<cranberryreel::testsupport::FakeConfigService> config = std::make_shared<cranberryreel::testsupport::FakeConfigService>();
    std::shared_ptr<cranberryreel::observe::SpanRing> spans = std::make_shared<cranberryreel::observe::SpanRing>(100);
    std::unique_ptr<cranberryreel::entry::EntryServer> server;
    std::string folder;
    std::string partnerKey;
    std::string operatorKey;
    std::string out;
    std::string err;
};
