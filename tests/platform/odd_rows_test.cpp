#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include "platform/configuration_codec.hpp"
#include "platform/crash_codec.hpp"
#include "platform/member_codec.hpp"
#include "platform/rollout_codec.hpp"
#include "platform/store_codec.hpp"
#include "platform/target_codec.hpp"
#include "replica/feed_codec.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

/// Depth that fits into the largest row of the store.
constexpr std::size_t row_depth = 32'000;

std::string nested(char open, char close)
{
    return std::string(row_depth, open) + std::string(row_depth, close);
}

/// Values that a field may have by mistake, as JSON text.
const std::vector<std::string>& odd_values()
{
    static const std::vector<std::string> values{"null",
                                                 "true",
                                                 "-1",
                                                 "0",
                                                 "0.5",
                                                 "-0.0",
                                                 "65535",
                                                 "65536",
                                                 "18446744073709551615",
                                                 "18446744073709551616",
                                                 "-9223372036854775808",
                                                 "-9223372036854775809",
                                                 "9007199254740993",
                                                 "1e300",
                                                 "-1e300",
                                                 "1e999",
                                                 "-1e999",
                                                 "1e-999",
                                                 "\"\"",
                                                 "\"-1\"",
                                                 "\"10.0.0.1:0\"",
                                                 "\"10.0.0.1:65536\"",
                                                 "\"10.0.0.1:-1\"",
                                                 "\"10.0.0.1:99999999999999999999\"",
                                                 "\"10.0.0.1\"",
                                                 "\"[::1]:80\"",
                                                 "\"\\u0000\"",
                                                 "\"\\ud800\"",
                                                 "\"" + std::string(60'000, 'x') + "\"",
                                                 "[]",
                                                 "{}",
                                                 "[null]",
                                                 "[{}]",
                                                 "[[[]]]",
                                                 nested('[', ']')};
    return values;
}

using json_fields = std::vector<std::pair<std::string, std::string>>;

const json_fields target_fields{{"backend", "\"engines\""},
                                {"address", "\"10.0.0.1:8080\""},
                                {"zone", "\"a\""},
                                {"version", "\"v1\""},
                                {"slots", "12"},
                                {"state", "\"ready\""},
                                {"cold_left_ms", "0"},
                                {"sequence", "7"},
                                {"born", "1765000000000"}};

const json_fields report_fields{{"running", "1"},
                                {"queued", "2"},
                                {"kv_used", "3"},
                                {"kv_total", "4"},
                                {"born", "1765000000000"},
                                {"state", "\"ready\""},
                                {"models", "[{\"name\":\"m\"}]"}};

const json_fields member_fields{{"entry", "\"10.0.0.1:1\""},
                                {"ready", "\"10.0.0.1:2\""},
                                {"feed", "\"10.0.0.1:3\""},
                                {"domain", "\"a\""},
                                {"cores", "0.5"}};

const json_fields configuration_fields{
    {"version", "3"},
    {"routes", R"([{"name":"r","host":"h","prefix":"/p/","kind":"safe","timeout_ms":100}])"},
    {"backends", R"([{"name":"b","engine":{"slots":1,"models":[{"name":"m"}]}}])"},
    {"tenants", R"([{"name":"t","api_keys":["k"]}])"},
    {"limits", R"({"max_header_bytes":1000})"}};

const json_fields evidence_fields{{"service", "\"s\""}, {"version", "\"v\""}, {"instance", "\"i\""},
                                  {"order", "1"},       {"old_good", "1"},    {"old_bad", "1"},
                                  {"new_good", "1"},    {"new_bad", "1"}};

const json_fields order_fields{{"backend", "\"s\""}, {"to", "\"v\""}, {"duration_s", "20"}};

std::string to_text(const json_fields& fields)
{
    std::string text = "{";
    for (const auto& [name, value] : fields) {
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + value;
    }
    return text + "}";
}

/// Decodes a text as everything that an instance reads from the store and from targets. Fails by
/// an exception or by ending the process.
void decode_as_everything(const std::string& text)
{
    const replica::row row{"rollout/s", text, {0, 5}, false};
    (void)platform::decode_configuration(text);
    (void)platform::decode_target("i-1", text);
    (void)platform::decode_member(row);
    (void)platform::decode_crash(row);
    (void)platform::decode_rollout_order(row);
    (void)platform::decode_rollout_outcome(row);
    (void)platform::decode_rollout_evidence(row);
    (void)platform::decode_rows(1, text);
    (void)platform::decode_load(text);
    (void)platform::decode_models(text);
    (void)platform::decode_copy(http::buffered_response{http::response_head{200, {}}, text},
                                core::socket_address{"10.0.0.1", 1});
    (void)replica::decode_feed_query(text);
    (void)replica::decode_feed_answer(text);
}

template <class Check>
void for_each_odd_field(const json_fields& fields, Check check)
{
    for (std::size_t i = 0; i < fields.size(); ++i) {
        for (const std::string& odd : odd_values()) {
            json_fields changed = fields;
            changed[i].second = odd;
            check(changed[i].first, odd, to_text(changed));
            // The field stands there twice.
            changed.push_back(fields[i]);
            check(changed[i].first, odd, to_text(changed));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(no_odd_field_ends_the_process)
{
    // As on an instance, on a thread of its own.
    std::thread decoder{[] {
        for (const json_fields* fields : {&target_fields, &report_fields, &member_fields,
                                          &configuration_fields, &evidence_fields, &order_fields}) {
            for_each_odd_field(*fields, [](const auto&, const auto&, const std::string& text) {
                BOOST_CHECK_NO_THROW(decode_as_everything(text));
            });
        }
        for (const std::string& odd : odd_values()) {
            BOOST_CHECK_NO_THROW(decode_as_everything(odd));
            BOOST_CHECK_NO_THROW(decode_as_everything("{\"rows\":[{\"key\":\"k\",\"value\":" + odd +
                                                      ",\"schema_version\":" + odd +
                                                      "}],\"schema_version\":4}"));
            BOOST_CHECK_NO_THROW(decode_as_everything("{\"handle\":" + odd + "}"));
            BOOST_CHECK_NO_THROW(decode_as_everything("{\"runs\":" + odd + ",\"running\":1}"));
        }
        BOOST_CHECK_NO_THROW(decode_as_everything("\xff\xfe{\"a\":\"\x80\"}"));
    }};
    decoder.join();
}

BOOST_AUTO_TEST_CASE(a_target_with_a_number_or_port_out_of_range_names_no_target)
{
    const auto is_accepted = [](const std::string& name, const std::string& value) {
        json_fields changed = target_fields;
        for (auto& field : changed) {
            if (field.first == name) {
                field.second = value;
            }
        }
        return platform::decode_target("i-1", to_text(changed)).ok();
    };
    BOOST_TEST(is_accepted("born", "1765000000001"));
    BOOST_TEST(is_accepted("sequence", "12345"));
    for (const char* value : {"1e300", "18446744073709551615", "18446744073709551616", "-1",
                              "9007199254740993", "0.5", "\"7\"", "[]", "{}", "true"}) {
        BOOST_TEST(!is_accepted("born", value), "born " << value);
        BOOST_TEST(!is_accepted("sequence", value), "sequence " << value);
    }
    for (const char* address : {"\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"",
                                "\"10.0.0.1:+80\"", "\"10.0.0.1: 80\"", "8080"}) {
        BOOST_TEST(!is_accepted("address", address), address);
    }
}

BOOST_AUTO_TEST_CASE(an_odd_row_leaves_the_other_rows_of_an_answer_in_force)
{
    const auto rows =
        platform::decode_rows(1, R"({"rows":[{"key":7,"value":"eA==","schema_version":3},
                    {"key":"odd","value":"eA==","schema_version":-3},
                    {"key":"coded","value":"no base64!","schema_version":3},
                    {"key":"good","value":"eA==","schema_version":4}],"schema_version":5})");
    BOOST_REQUIRE(rows.ok());
    BOOST_REQUIRE(rows->rows.size() == 2U);
    // A value that can't be read is empty, which no decoder accepts.
    BOOST_TEST(rows->rows[0].key == "coded");
    BOOST_TEST(rows->rows[0].value.empty());
    BOOST_TEST(rows->rows[1].key == "good");
}

BOOST_AUTO_TEST_CASE(an_odd_report_of_a_target_is_read_as_far_as_it_is_sound)
{
    const auto load = platform::decode_load(
        R"({"running":1,"queued":1e300,"kv_used":-4,"kv_total":9,"born":1e300,"state":5})");
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->running == 1U);
    BOOST_TEST(load->waiting == 0U);
    BOOST_TEST(load->memory_total == 9U);
    BOOST_TEST((load->started_at == core::wall_time{}));
}

RC_BOOST_PROP(mutated_messages_never_end_the_process, ())
{
    const std::vector<const json_fields*> messages{&target_fields,   &report_fields,
                                                   &member_fields,   &configuration_fields,
                                                   &evidence_fields, &order_fields};
    std::string text = to_text(*messages[*rc::gen::inRange<std::size_t>(0, messages.size())]);
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 4);
        const auto inserted = *rc::gen::container<std::string>(
            rc::gen::element('{', '}', '[', ']', '"', ',', ':', '9', 'e', '-', '\\', '\0', '\xff'));
        text.replace(at, length, inserted.substr(0, 8));
    }
    decode_as_everything(text);
}
