#include "json/schema.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(every_validation_error_is_listed_with_its_pointer)
{
    const auto schema = nlohmann::json::parse(R"({"type":"object","required":["a"],
        "properties":{"a":{"type":"integer"},"b":{"type":"array","items":{"type":"string"}}}})");
    BOOST_TEST(json::validate(nlohmann::json::parse(R"({"a":1,"b":["x"]})"), schema).empty());

    const auto errors = json::validate(nlohmann::json::parse(R"({"a":"x","b":["y",3]})"), schema);
    const std::string text{json::to_error(errors, "file", "correct it").message()};
    BOOST_TEST(text.find("/a: ") != std::string::npos);
    BOOST_TEST(text.find("/b/1: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_syntax_error_reports_the_byte_position)
{
    const auto parsed = json::parse("{\"a\":}", "file");
    BOOST_TEST(!parsed.ok());
    BOOST_TEST(std::string{parsed.status().message()}.find("byte 6") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(number_beyond_the_range_of_a_double_is_reported)
{
    const auto parsed = json::parse(R"({"max_tokens": 1e999})", "request body");
    BOOST_REQUIRE(!parsed.ok());
    BOOST_TEST(std::string{parsed.status().message()}.starts_with("request body: "));
}

BOOST_AUTO_TEST_CASE(deeply_nested_document_is_reported)
{
    constexpr std::size_t depth = 200'000;
    const auto parsed =
        json::parse(std::string(depth, '[') + std::string(depth, ']'), "request body");
    BOOST_REQUIRE(!parsed.ok());
    BOOST_TEST(std::string{parsed.status().message()}.starts_with("request body: "));
}
