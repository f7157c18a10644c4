#include "json/schema.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::json {

namespace {

std::string pointer_of(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const std::string& part : context) {
        // A part has the form "<root>", "[name]" or "[3]".
        if (part.size() >= 2 && part.front() == '[') {
            core::append(pointer, "/", part.substr(1, part.size() - 2));
        }
    }
    return pointer.empty() ? "/" : pointer;
}

/// Documents are copied, written and destroyed recursively.
constexpr std::size_t max_depth = 100;

bool is_nested_too_deeply(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (in_string && character == '\\') {
            ++i;
        }
        else if (character == '"') {
            in_string = !in_string;
        }
        else if (!in_string && (character == '[' || character == '{') && ++depth > max_depth) {
            return true;
        }
        else if (!in_string && (character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

absl::StatusOr<nlohmann::json> parse(std::string_view text, std::string_view source)
{
    if (is_nested_too_deeply(text)) {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat(source, ": nested more than ", max_depth, " deep"),
                                "use fewer nested lists and objects");
    }
    try {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::parse_error& error) {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat(source, ": JSON syntax error at byte ", error.byte),
                                "correct the syntax");
    }
    catch (const nlohmann::json::out_of_range&) {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat(source, ": a number is out of range"),
                                "use numbers that fit into a double");
    }
}

std::vector<validation_error> validate(const nlohmann::json& document, const nlohmann::json& schema)
{
    valijson::Schema compiled;
    valijson::SchemaParser parser;
    const valijson::adapters::NlohmannJsonAdapter schema_adapter{schema};
    parser.populateSchema(schema_adapter, compiled);

    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter{document};
    validator.validate(compiled, adapter, &results);

    std::vector<validation_error> errors;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        errors.push_back(validation_error{pointer_of(error.context), error.description});
    }
    return errors;
}

absl::Status to_error(const std::vector<validation_error>& errors, std::string_view source,
                      std::string_view remedy)
{
    std::string problem = core::concat(source, ": ", errors.size(), " error(s)");
    for (const validation_error& error : errors) {
        core::append(problem, "\n  ", error.pointer, ": ", error.problem);
    }
    return core::make_error(core::error_kind::invalid_argument, problem, remedy);
}

} // namespace cyclamen::json
