#pragma once

#include "support/FakeDispatcher.h"

#include <string>

/// A dispatcher whose operator views return fixed text. Owned by a test.
class CannedViews : public cranberryreel::testsupport::FakeDispatcher
{
public:
    void view(const std::string &viewName, const std::string &filter, cranberryreel::entry::TextDone done) override
    {
        if (viewName == "explain") {
            done(cranberryreel::base::ResultCode::Ok, R"({"id":")" + filter + R"(","state":"accepted","reason":"waits for 2 accelerators"})");
            return;
        }
        done(cranberryreel::base::ResultCode::Ok, R"({")" + viewName + R"(":)" + fixedRows(viewName) + R"(,"unreachable_zones":["akr"]})");
    }

private:
    static std::string fixedRows(const std::string &viewName)
    {
        if (viewName == "shares") {
            return R"([{"partner":"a-partner-with-a-very-long-name-indeed-that-fills-the-screen-by-itself","zone":"rey","due":0.25,"used":0.125,"waiting":12,"running":7}])";
        }
        if (viewName == "zones") {
            return R"([{"zone":"rey","leader":"rey-a","epoch":1796352000123,"placing":true,"used":0.5,"waiting":0,"expected_wait_ms":3,"jobs":10,"upstreams":12}])";
        }
        if (viewName == "jobs") {
            return R"([{"id":"rey-0000000000000001","kind":"batch","partner":"agents","name":"nightly-report-of-everything-there-is","state":"running","tasks":40,"running":8}])";
        }
        return R"([{"id":"up-rey-01","vm":"rey-w01","zone":"rey","state":"live","accepting":true,"registered":false,"slots":8}])";
    }
};
