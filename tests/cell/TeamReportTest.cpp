#include "cell/TeamReport.h"

#include "cell/teams/TeamCell.h"
#include "observe/Metrics.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

using namespace cranberryreel;
using support::TeamCell;

namespace
{

/// The value of a metric of this team; -1 if it is not exported.
double exportedValue(const std::string &metric, const std::string &team)
{
    const std::string sample = metric + "{team=\"" + team + "\"} ";
    const std::string text = observe::prometheusText();
    const std::size_t at = text.find(sample);
    return at == std::string::npos ? -1 : std::atof(text.c_str() + at + sample.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamReportTest)

// Guards against figures of a VM that leads no more, a label that breaks the export, and one series for each of thousands of teams.
BOOST_AUTO_TEST_CASE(teamsAreExportedAndBoundedInNumber)
{
    std::map<std::string, TeamCell::Team> teams{{"!quo\"ted", {3, 2000}}};
    for (int i = 0; i < 100; ++i) {
        teams["team" + std::to_string(i)] = {1, 0};
    }
    TeamCell cell(teams);
    cell.addUpstreams(2, 8000);
    cell.submit("!quo\"ted", 5, 1000);
    cell.submit("", 1, 1000);
    {
        cell::TeamReport report;
        report.record(cell.plan(), cell.state);
        const std::string quoted = "!quo\\\"ted";
        BOOST_TEST(exportedValue("cranberryreel_cell_team_waiting_tasks", quoted) == 3);
        BOOST_TEST(exportedValue("cranberryreel_cell_team_running_cpu_millis", quoted) == 2000);
        BOOST_TEST(exportedValue("cranberryreel_cell_team_cpu_limit_millis", quoted) == 2000);
        BOOST_TEST(exportedValue("cranberryreel_cell_team_share", quoted) == 0.125);
        BOOST_TEST(exportedValue("cranberryreel_cell_team_running_cpu_millis", "none") == 1000);
        std::size_t series = 0;
        for (std::size_t at = 0; (at = observe::prometheusText().find("cranberryreel_cell_team_weight{", at + 1)) != std::string::npos;) {
            ++series;
        }
        BOOST_TEST(series == 65U); // 64 names and `other`.
        BOOST_TEST(exportedValue("cranberryreel_cell_team_weight", "other") == 38);
    }
    BOOST_TEST(exportedValue("cranberryreel_cell_team_running_cpu_millis", "none") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
