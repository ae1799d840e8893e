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

/// The tool against a real entry VM over fakes.
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
        this->partnerKey = this->file("agents.key", "agents-key\n");
        this->operatorKey = this->file("root.key", "root-key\n");
    }

    std::string file(const std::string &name, const std::string &text) const
    {
        std::string path = this->folder + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    std::string entry() const
    {
        return "127.0.0.1:" + std::to_string(this->server->port());
    }

    int runBare(const std::vector<std::string> &words, const std::string &input = "")
    {
        std::istringstream in(input);
        std::ostringstream printed;
        std::ostringstream complained;
        const int code = cranberryreel::cli::Tool({in, printed, complained, false}).run(words);
        this->out = printed.str();
        this->err = complained.str();
        return code;
    }

    int runAs(const std::string &keyFile, std::vector<std::string> words)
    {
        words.insert(words.end(), {"--entry", this->entry(), "--key-file", keyFile});
        return this->runBare(words);
    }

    int run(const std::vector<std::string> &words)
    {
        return this->runAs(this->partnerKey, words);
    }

    int runAsOperator(const std::vector<std::string> &words)
    {
        return this->runAs(this->operatorKey, words);
    }

    bool prints(const std::string &text) const
    {
        return this->out.find(text) != std::string::npos;
    }

    bool complains(const std::string &text) const
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
