#include "peer/peer_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/error.hpp"

using namespace cyclamen;

namespace {

const api::peer_identity alice{core::instance_name{"alice"}, core::incarnation{7}};
const api::peer_identity bob{core::instance_name{"bob"}, core::incarnation{}};

api::member example_member(api::member_state state)
{
    return api::member{alice,
                       3,
                       state,
                       core::failure_domain_name{"regina"},
                       core::socket_address{"127.0.0.1", 8080},
                       core::socket_address{"127.0.0.2", 65535}};
}

/// One example of every payload.
std::vector<api::peer_message> examples()
{
    const std::vector<api::member> members{
        example_member(api::member_state::starting), example_member(api::member_state::serving),
        example_member(api::member_state::draining), example_member(api::member_state::suspect),
        example_member(api::member_state::gone)};
    const api::configuration_knowledge unproven{core::revision{4}, std::nullopt};
    const api::checkpoint_key key{core::account_name{"chain"}, core::request_key{"k"}};
    const api::checkpoint_epoch epoch{2};
    const api::checkpoint state{
        core::version_name{"v1"}, 0xfedcba9876543210, {{"a-1", 0}, {"b-4", 2}}, {" a", " b"}, true};
    return {api::probe{1, unproven, members},
            api::probe_ack{2, unproven, {}},
            api::probe_request{3, core::instance_name{"carol"}},
            api::member_news{members},
            api::member_exchange{members, true},
            api::revision_notice{core::revision{9}, api::table_era{2}},
            api::configuration_request{core::revision{8}, api::table_era{2}},
            api::configuration_copy{core::revision{9}, core::revision{8}, "ann", "n-1",
                                    core::wall_time{std::chrono::milliseconds{1234}}, "{}",
                                    api::table_era{2}},
            api::status_request{5},
            api::status_report{5, {core::revision{4}, std::nullopt, api::table_era{2}}},
            api::checkpoint_open{key, epoch, state},
            api::checkpoint_append{{{key, epoch, 3, {" c", std::string{"\0\xff", 2}}, true}}},
            api::checkpoint_ack{{{key, epoch, 5}}},
            api::checkpoint_superseded{key, epoch},
            api::checkpoint_unknown{key, epoch},
            api::checkpoint_fetch{6, key},
            api::checkpoint_fetched{6, key, epoch, alice.name, true, false, state},
            api::quarantine_notice{0xfedcba9876543210, 60'000}};
}

} // namespace

BOOST_AUTO_TEST_CASE(every_payload_is_unchanged_after_encoding_and_decoding)
{
    const auto all = examples();
    BOOST_REQUIRE_EQUAL(all.size(), std::variant_size_v<api::peer_message>);
    for (std::size_t i = 0; i < all.size(); ++i) {
        BOOST_REQUIRE_EQUAL(all[i].index(), i);
        const peer::envelope sent{alice, bob, all[i]};
        const auto received = peer::decode(peer::encode(sent));
        BOOST_REQUIRE(received.ok());
        BOOST_TEST((*received == sent));
    }
}

RC_BOOST_PROP(decoded_knowledge_is_never_younger_than_encoded, (std::uint32_t age_us))
{
    const core::duration age = std::chrono::microseconds{age_us};
    const peer::envelope sent{alice, bob, api::status_report{1, {core::revision{1}, age}}};
    const auto received = peer::decode(peer::encode(sent));
    RC_ASSERT(received.ok());
    const auto read = std::get<api::status_report>(received->message).configuration.age;
    RC_ASSERT(read.has_value() && *read >= age && *read <= age + std::chrono::milliseconds{1});
}

RC_BOOST_PROP(corrupted_bytes_are_decoded_or_rejected_without_a_crash, ())
{
    const auto all = examples();
    const auto index = *rc::gen::inRange<std::size_t>(0, all.size());
    std::string bytes = peer::encode({alice, bob, all[index]});
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    static_cast<void>(peer::decode(bytes));
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected)
{
    for (const char* bytes : {"", "hello", "\x0a\x05"}) {
        const auto received = peer::decode(bytes);
        BOOST_REQUIRE(!received.ok());
        BOOST_TEST((core::kind_of(received.status()) == core::error_kind::invalid_argument));
    }
}
