#include "config/TextDelta.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using cranberryreel::config::TextDelta;

BOOST_AUTO_TEST_SUITE(TextDeltaTest)

BOOST_AUTO_TEST_CASE(restoresEveryText)
{
    const auto fewLetters = rc::gen::container<std::string>(rc::gen::element('a', 'b', '\n'));
    BOOST_TEST(rc::check("a delta restores its text", [&] {
        const std::string base = *fewLetters;
        const std::string text = *fewLetters;
        RC_ASSERT(TextDelta::between(base, text).applyTo(base) == text);
    }));
}

BOOST_AUTO_TEST_CASE(aSmallChangeOfALargeTextIsSmall)
{
    std::string base;
    for (int line = 0; line < 10000; line++) {
        base += "[vm w" + std::to_string(line) + "]\n";
    }
    std::string text = base;
    text.replace(text.find("[vm w5000]"), 10, "[vm w5000-new]");
    BOOST_TEST(TextDelta::between(base, text).middle.size() < 20U);
    BOOST_TEST((TextDelta::between(base, text).applyTo(base) == text));
    BOOST_TEST(!TextDelta::between(base, text).applyTo("short").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
