#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::http
{

/// Parses a body. Throws base::Error(MalformedJson).
nlohmann::json parseJson(std::string_view text);

/// The text of a value; bytes that are not UTF-8 are replaced.
std::string jsonText(const nlohmann::json &value);

/// Reads one JSON object field by field, strictly: every error is a base::Error that names the field (UnknownField, MissingField, FieldWrongType,
/// FieldOutOfRange). The object must outlive the reader.
class JsonReader
{
public:
    /// Throws FieldWrongType when the value is no object. `where` is put before field names in errors, such as "tasks[3].".
    explicit JsonReader(const nlohmann::json &value, std::string where = "");

    bool has(const std::string &field) const;

    /// Lengths in bytes.
    std::string text(const std::string &field, std::size_t shortest, std::size_t longest);
    std::string textOr(const std::string &field, const std::string &absent, std::size_t longest);
    std::int64_t integer(const std::string &field, std::int64_t least, std::int64_t most);
    std::int64_t integerOr(const std::string &field, std::int64_t absent, std::int64_t least, std::int64_t most);
    bool flag(const std::string &field);
    bool flagOr(const std::string &field, bool absent);

    /// One reader for each object in an array; empty when the field is absent.
    std::vector<JsonReader> objects(const std::string &field, std::size_t most);

    /// The strings of an array; empty when the field is absent.
    std::vector<std::string> texts(const std::string &field, std::size_t most, std::size_t longest);

    /// Throws UnknownField when the object holds a field that was not asked for.
    void finish() const;

    [[noreturn]] void refuse(const std::string &field, const std::string &why) const;

private:
    const nlohmann::json &required(const std::string &field);
    const nlohmann::json *array(const std::string &field, std::size_t most);

    const nlohmann::json *object;
    std::string prefix;
    std::set<std::string> asked;
};

} // namespace cranberryreel::http
