#include "http/JsonReader.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <limits>

namespace cranberryreel::http
{

namespace
{

[[noreturn]] void throwError(base::ResultCode code, const std::string &message)
{
    throw base::Error(code, message);
}

void requireType(bool hasType, const std::string &name, const char *type)
{
    if (!hasType) {
        throwError(base::ResultCode::FieldWrongType, fmt::format("{} must be {}.", name, type));
    }
}

std::string checkedText(const nlohmann::json &value, const std::string &name, std::size_t minimumBytes, std::size_t maximumBytes)
{
    requireType(value.is_string(), name, "a string");
    const auto &text = value.get_ref<const std::string &>();
    if (text.size() < minimumBytes || text.size() > maximumBytes) {
        throwError(base::ResultCode::FieldOutOfRange, fmt::format("{} must have {} to {} bytes, not {}.", name, minimumBytes, maximumBytes, text.size()));
    }
    return text;
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    try {
        return nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::parse_error &error) {
        throwError(base::ResultCode::MalformedJson, fmt::format("The body is not valid JSON: error at byte {}.", error.byte));
    } catch (const nlohmann::json::exception &) {
        throwError(base::ResultCode::MalformedJson, "The body is not valid JSON: a number is out of range.");
    }
}

std::string jsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JsonReader::JsonReader(const nlohmann::json &value, std::string fieldPrefix)
    : object(&value)
    , prefix(std::move(fieldPrefix))
{
    requireType(value.is_object(), this->prefix.empty() ? "The body" : this->prefix.substr(0, this->prefix.size() - 1), "an object");
}

bool JsonReader::has(const std::string &field) const
{
    return this->object->contains(field);
}

const nlohmann::json &JsonReader::required(const std::string &field)
{
    this->readFields.insert(field);
    const auto found = this->object->find(field);
    if (found == this->object->end()) {
        throwError(base::ResultCode::MissingField, fmt::format("{}{} is required.", this->prefix, field));
    }
    return *found;
}

std::string JsonReader::text(const std::string &field, std::size_t minimumBytes, std::size_t maximumBytes)
{
    return checkedText(this->required(field), this->prefix + field, minimumBytes, maximumBytes);
}

std::string JsonReader::textOr(const std::string &field, const std::string &defaultValue, std::size_t maximumBytes)
{
    this->readFields.insert(field);
    return this->has(field) ? this->text(field, 0, maximumBytes) : defaultValue;
}

std::int64_t JsonReader::integer(const std::string &field, std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json &value = this->required(field);
    requireType(value.is_number_integer(), this->prefix + field, "an integer");
    const bool exceedsInt64 = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const std::int64_t number = exceedsInt64 ? 0 : value.get<std::int64_t>();
    if (exceedsInt64 || number < minimum || number > maximum) {
        throwError(base::ResultCode::FieldOutOfRange, fmt::format("{}{} must be {} to {}, not {}.", this->prefix, field, minimum, maximum, value.dump()));
    }
    return number;
}

std::int64_t JsonReader::integerOr(const std::string &field, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
{
    this->readFields.insert(field);
    return this->has(field) ? this->integer(field, minimum, maximum) : defaultValue;
}

bool JsonReader::flag(const std::string &field)
{
    const nlohmann::json &value = this->required(field);
    requireType(value.is_boolean(), this->prefix + field, "true or false");
    return value.get<bool>();
}

bool JsonReader::flagOr(const std::string &field, bool defaultValue)
{
    this->readFields.insert(field);
    return this->has(field) ? this->flag(field) : defaultValue;
}

const nlohmann::json *JsonReader::array(const std::string &field, std::size_t maximum)
{
    this->readFields.insert(field);
    const auto found = this->object->find(field);
    if (found == this->object->end()) {
        return nullptr;
    }
    requireType(found->is_array(), this->prefix + field, "an array");
    if (found->size() > maximum) {
        throwError(base::ResultCode::FieldOutOfRange, fmt::format("{}{} may have at most {} entries.", this->prefix, field, maximum));
    }
    return &*found;
}

std::vector<JsonReader> JsonReader::objects(const std::string &field, std::size_t maximum)
{
    std::vector<JsonReader> readers;
    if (const nlohmann::json *entries = this->array(field, maximum); entries != nullptr) {
        for (std::size_t i = 0; i < entries->size(); ++i) {
            readers.emplace_back((*entries)[i], fmt::format("{}{}[{}].", this->prefix, field, i));
        }
    }
    return readers;
}

std::vector<std::string> JsonReader::texts(const std::string &field, std::size_t maximum, std::size_t maximumBytes)
{
    std::vector<std::string> all;
    if (const nlohmann::json *entries = this->array(field, maximum); entries != nullptr) {
        for (std::size_t i = 0; i < entries->size(); ++i) {
            all.push_back(checkedText((*entries)[i], fmt::format("{}{}[{}]", this->prefix, field, i), 0, maximumBytes));
        }
    }
    return all;
}

void JsonReader::rejectUnknownFields() const
{
    for (const auto &[field, value] : this->object->items()) {
        if (this->readFields.count(field) == 0) {
            throwError(base::ResultCode::UnknownField, fmt::format("{}{} is not a known field.", this->prefix, field));
        }
    }
}

void JsonReader::throwOutOfRange(const std::string &field, const std::string &why) const
{
    throwError(base::ResultCode::FieldOutOfRange, fmt::format("{}{} {}.", this->prefix, field, why));
}

} // namespace cranberryreel::http
