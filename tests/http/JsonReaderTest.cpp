#include "http/JsonReader.h"
#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

using cranberryreel::base::Error;
using cranberryreel::base::ResultCode;
using namespace cranberryreel::http;

namespace
{

template<typename Read>
ResultCode codeOf(const char *text, Read read)
{
    try {
        const nlohmann::json json = parseJson(text);
        JsonReader reader(json);
        read(reader);
        reader.rejectUnknownFields();
    } catch (const Error &error) {
        return error.code();
    }
    return ResultCode::Ok;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonReaderTest)

BOOST_AUTO_TEST_CASE(validatesIntegers)
{
    const auto read = [](JsonReader &reader) { reader.integer("n", 0, 10); };
    BOOST_TEST((codeOf(R"({"n":10})", read) == ResultCode::Ok));
    BOOST_TEST((codeOf(R"({"n":11})", read) == ResultCode::FieldOutOfRange));
    BOOST_TEST((codeOf(R"({"n":-1})", read) == ResultCode::FieldOutOfRange));
    BOOST_TEST((codeOf(R"({"n":18446744073709551615})", read) == ResultCode::FieldOutOfRange));
    BOOST_TEST((codeOf(R"({"n":1.0})", read) == ResultCode::FieldWrongType));
    BOOST_TEST((codeOf(R"({"n":null})", read) == ResultCode::FieldWrongType));
    BOOST_TEST((codeOf(R"({"n":1e999})", read) == ResultCode::MalformedJson));
    BOOST_TEST((codeOf("{}", read) == ResultCode::MissingField));
    BOOST_TEST((codeOf(R"({"n":1,"m":2})", read) == ResultCode::UnknownField));
}

BOOST_AUTO_TEST_CASE(errorsNameTheFieldWithinArrays)
{
    const nlohmann::json json = parseJson(R"({"rows":[{"n":1},{"n":"x"}]})");
    JsonReader reader(json);
    std::vector<JsonReader> rows = reader.objects("rows", 2);
    BOOST_TEST(rows.at(0).integer("n", 0, 9) == 1);
    const auto namesRow = [](const Error &error) { return std::string(error.what()).find("rows[1].n") != std::string::npos; };
    BOOST_CHECK_EXCEPTION(rows.at(1).integer("n", 0, 9), Error, namesRow);
    BOOST_CHECK_THROW(reader.objects("rows", 1), Error);
}

BOOST_AUTO_TEST_CASE(limitsTextsInBytes)
{
    const auto read = [](JsonReader &reader) { reader.text("s", 1, 3); };
    BOOST_TEST((codeOf(R"({"s":"abc"})", read) == ResultCode::Ok));
    BOOST_TEST((codeOf(R"({"s":"abcd"})", read) == ResultCode::FieldOutOfRange));
    BOOST_TEST((codeOf(R"({"s":""})", read) == ResultCode::FieldOutOfRange));
    BOOST_TEST((codeOf(R"({"s":7})", read) == ResultCode::FieldWrongType));
    BOOST_TEST((codeOf("{\"s\":\"\xff\"}", read) == ResultCode::MalformedJson));
}

BOOST_AUTO_TEST_CASE(parsesDeeplyNestedTextWithoutRecursion)
{
    const std::string nested = std::string(500'000, '[') + std::string(500'000, ']');
    BOOST_CHECK_THROW(JsonReader(parseJson(nested)), Error);
    BOOST_CHECK_THROW(parseJson(std::string(500'000, '[')), Error);
}

BOOST_AUTO_TEST_SUITE_END()
