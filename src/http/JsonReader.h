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

/// Parses a JSON text. Throws base::Error(MalformedJson).
nlohmann::json parseJson(std::string_view text);

/// Serializes a value; bytes that are not valid UTF-8 are replaced.
std::string jsonText(const nlohmann::json &value);

/// Reads and validates the fields of one JSON object. Every error is a base::Error that names the field (UnknownField, MissingField, FieldWrongType,
/// FieldOutOfRange). The functions ending in "Or" return the given default for an absent field. The object must outlive the reader.
class JsonReader
{
public:
    /// Throws FieldWrongType if the value is not an object. `fieldPrefix` precedes field names in errors, for example "tasks[3].".
    explicit JsonReader(const nlohmann::json &value, std::string fieldPrefix = "");

    bool has(const std::string &field) const;

    /// Lengths are in bytes.
    std::string text(const std::string &field, std::size_t minimumBytes, std::size_t maximumBytes);
    std::string textOr(const std::string &field, const std::string &defaultValue, std::size_t maximumBytes);
    std::int64_t integer(const std::string &field, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integerOr(const std::string &field, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum);
    bool flag(const std::string &field);
    bool flagOr(const std::string &field, bool defaultValue);

    /// One reader per object of an array; empty if the field is absent.
    std::vector<JsonReader> objects(const std::string &field, std::size_t maximum);

    /// The strings of an array; empty if the field is absent.
    std::vector<std::string> texts(const std::string &field, std::size_t maximum, std::size_t maximumBytes);

    /// Throws UnknownField if the object has a field that has not been read.
    void rejectUnknownFields() const;

    /// Throws FieldOutOfRange with the field's name and the reason.
    [[noreturn]] void throwOutOfRange(const std::string &field, const std::string &why) const;

private:
    const nlohmann::json &required(const std::string &field);
    const nlohmann::json *array(const std::string &field, std::size_t maximum);

    const nlohmann::json *object;
    std::string prefix;
    std::set<std::string> readFields;
};

} // namespace cranberryreel::http
