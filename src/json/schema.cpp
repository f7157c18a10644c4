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

} // namespace

absl::StatusOr<nlohmann::json> parse(std::string_view text, std::string_view source)
{
    try {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::parse_error& error) {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat(source, ": JSON syntax error at byte ", error.byte),
                                "correct the syntax");
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
