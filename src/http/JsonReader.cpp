#include "http/JsonReader.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <limits>

namespace cranberryreel::http
{

namespace
{

[[noreturn]] void fail(base::ResultCode code, const std::string &message)
{
    throw base::Error(code, message);
}

void requireType(bool right, const std::string &name, const char *type)
{
    if (!right) {
        fail(base::ResultCode::FieldWrongType, fmt::format("{} must be {}.", name, type));
    }
}

std::string checkedText(const nlohmann::json &value, const std::string &name, std::size_t shortest, std::size_t longest)
{
    requireType(value.is_string(), name, "a string");
    const auto &text = value.get_ref<const std::string &>();
    if (text.size() < shortest || text.size() > longest) {
        fail(base::ResultCode::FieldOutOfRange, fmt::format("{} must have {} to {} bytes, not {}.", name, shortest, longest, text.size()));
    }
    return text;
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    try {
        return nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::parse_error &error) {
        fail(base::ResultCode::MalformedJson, fmt::format("The body is not JSON: it goes wrong at byte {}.", error.byte));
    } catch (const nlohmann::json::exception &) {
        fail(base::ResultCode::MalformedJson, "The body is not JSON: a number in it is out of range.");
    }
}

std::string jsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JsonReader::JsonReader(const nlohmann::json &value, std::string where)
    : object(&value)
    , prefix(std::move(where))
{
    requireType(value.is_object(), this->prefix.empty() ? "The body" : this->prefix.substr(0, this->prefix.size() - 1), "an object");
}

bool JsonReader::has(const std::string &field) const
{
    return this->object->contains(field);
}

const nlohmann::json &JsonReader::required(const std::string &field)
{
    this->asked.insert(field);
    const auto found = this->object->find(field);
    if (found == this->object->end()) {
        fail(base::ResultCode::MissingField, fmt::format("{}{} is required.", this->prefix, field));
    }
    return *found;
}

std::string JsonReader::text(const std::string &field, std::size_t shortest, std::size_t longest)
{
    return checkedText(this->required(field), this->prefix + field, shortest, longest);
}

std::string JsonReader::textOr(const std::string &field, const std::string &absent, std::size_t longest)
{
    this->asked.insert(field);
    return this->has(field) ? this->text(field, 0, longest) : absent;
}

std::int64_t JsonReader::integer(const std::string &field, std::int64_t least, std::int64_t most)
{
    const nlohmann::json &value = this->required(field);
    requireType(value.is_number_integer(), this->prefix + field, "a whole number");
    const bool huge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const std::int64_t number = huge ? 0 : value.get<std::int64_t>();
    if (huge || number < least || number > most) {
        fail(base::ResultCode::FieldOutOfRange, fmt::format("{}{} must be {} to {}, not {}.", this->prefix, field, least, most, value.dump()));
    }
    return number;
}

std::int64_t JsonReader::integerOr(const std::string &field, std::int64_t absent, std::int64_t least, std::int64_t most)
{
    this->asked.insert(field);
    return this->has(field) ? this->integer(field, least, most) : absent;
}

bool JsonReader::flag(const std::string &field)
{
    const nlohmann::json &value = this->required(field);
    requireType(value.is_boolean(), this->prefix + field, "true or false");
    return value.get<bool>();
}

bool JsonReader::flagOr(const std::string &field, bool absent)
{
    this->asked.insert(field);
    return this->has(field) ? this->flag(field) : absent;
}

const nlohmann::json *JsonReader::array(const std::string &field, std::size_t most)
{
    this->asked.insert(field);
    const auto found = this->object->find(field);
    if (found == this->object->end()) {
        return nullptr;
    }
    requireType(found->is_array(), this->prefix + field, "an array");
    if (found->size() > most) {
        fail(base::ResultCode::FieldOutOfRange, fmt::format("{}{} may hold {} entries at most.", this->prefix, field, most));
    }
    return &*found;
}

std::vector<JsonReader> JsonReader::objects(const std::string &field, std::size_t most)
{
    std::vector<JsonReader> readers;
    if (const nlohmann::json *entries = this->array(field, most); entries != nullptr) {
        for (std::size_t i = 0; i < entries->size(); ++i) {
            readers.emplace_back((*entries)[i], fmt::format("{}{}[{}].", this->prefix, field, i));
        }
    }
    return readers;
}

std::vector<std::string> JsonReader::texts(const std::string &field, std::size_t most, std::size_t longest)
{
    std::vector<std::string> all;
    if (const nlohmann::json *entries = this->array(field, most); entries != nullptr) {
        for (std::size_t i = 0; i < entries->size(); ++i) {
            all.push_back(checkedText((*entries)[i], fmt::format("{}{}[{}]", this->prefix, field, i), 0, longest));
        }
    }
    return all;
}

void JsonReader::finish() const
{
    for (const auto &[field, value] : this->object->items()) {
        if (this->asked.count(field) == 0) {
            fail(base::ResultCode::UnknownField, fmt::format("{}{} is not a field of this call.", this->prefix, field));
        }
    }
}

void JsonReader::refuse(const std::string &field, const std::string &why) const
{
    fail(base::ResultCode::FieldOutOfRange, fmt::format("{}{} {}.", this->prefix, field, why));
}

} // namespace cranberryreel::http
