#pragma once

#include "support/FakeDispatcher.h"

#include <string>

/// A dispatcher whose operators' views are fixed. Owned by a test.
class CannedViews : public cranberryreel::testsupport::FakeDispatcher
{
public:
    void view(const std::string &what, const std::string &filter, cranberryreel::entry::TextDone done) override
    {
        if (what == "explain") {
            done(cranberryreel::base::ResultCode::Ok, R"({"id":")" + filter + R"(","state":"accepted","reason":"waits for 2 accelerators"})");
            return;
        }
        done(cranberryreel::base::ResultCode::Ok, R"({")" + what + R"(":)" + rowsOf(what) + R"(,"unreachable_zones":["akr"]})");
    }

private:
    static std::string rowsOf(const std::string &what)
    {
        if (what == "shares") {
            return R"([{"partner":"a-partner-with-a-very-long-name-indeed-that-fills-the-screen-by-itself","zone":"rey","due":0.25,"used":0.125,"waiting":12,"running":7}])";
        }
        if (what == "zones") {
            return R"([{"zone":"rey","leader":"rey-a","epoch":1796352000123,"placing":true,"used":0.5,"waiting":0,"expected_wait_ms":3,"jobs":10,"upstreams":12}])";
        }
        if (what == "jobs") {
            return R"([{"id":"rey-0000000000000001","kind":"batch","partner":"agents","name":"nightly-report-of-everything-there-is","state":"running","tasks":40,"running":8}])";
        }
        return R"([{"id":"up-rey-01","vm":"rey-w01","zone":"rey","state":"live","accepting":true,"registered":false,"slots":8}])";
    }
};
