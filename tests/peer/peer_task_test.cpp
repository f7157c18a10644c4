#include "peer/peer_task.hpp"

#include <array>

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;

namespace {

constexpr core::duration receive_timeout = std::chrono::seconds{10};
/// Long enough for a message that was not rejected to arrive.
constexpr core::duration no_message_wait = std::chrono::milliseconds{600};

struct key_pair {
    std::string public_key;
    std::string secret_key;
};

key_pair make_keys()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    BOOST_REQUIRE_EQUAL(zmq_curve_keypair(public_key.data(), secret_key.data()), 0);
    return {public_key.data(), secret_key.data()};
}

/// A peer task that delivers received messages to a channel.
class node {
  public:
    explicit node(const std::string& name, std::uint64_t incarnation = 1,
                  const std::optional<peer::curve_keys>& keys = std::nullopt,
                  const core::socket_address& listen = test::free_address())
        : address{listen}, identity{core::instance_name{name}, core::incarnation{incarnation}},
          task{{identity.name, identity.incarnation, listen, keys}, received_events}
    {
        const absl::Status started = task.start();
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.message()});
    }
    ~node() { task.stop(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void send(const core::socket_address& to, const api::peer_identity& recipient,
              const api::peer_message& message)
    {
        BOOST_REQUIRE(task.inbox()->post(api::send_to_peers{{{to, recipient}}, message}).ok());
    }

    std::optional<api::peer_received> next(core::duration timeout = receive_timeout)
    {
        const auto event = received_events->take(timeout);
        return event.has_value() ? std::optional{std::get<api::peer_received>(*event)}
                                 : std::nullopt;
    }

    core::socket_address address;
    api::peer_identity identity;
    std::shared_ptr<task::channel<api::peer_event>> received_events =
        std::make_shared<task::channel<api::peer_event>>();
    peer::peer_task task;
};

api::peer_message notice(std::uint64_t revision)
{
    return api::revision_notice{core::revision{revision}};
}

} // namespace

BOOST_AUTO_TEST_CASE(messages_are_received_in_order_with_their_sender)
{
    node a{"a", 5};
    node b{"b"};
    constexpr std::uint64_t count = 500;
    for (std::uint64_t i = 0; i < count; ++i) {
        a.send(b.address, b.identity, notice(i));
    }
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto received = b.next();
        BOOST_REQUIRE(received.has_value());
        BOOST_TEST((received->from == a.identity));
        BOOST_REQUIRE((received->message == notice(i)));
    }
}

BOOST_AUTO_TEST_CASE(a_message_for_another_incarnation_or_name_is_dropped)
{
    node a{"a"};
    node b{"b", 2};
    a.send(b.address, {core::instance_name{"c"}, core::incarnation{}}, notice(1));
    a.send(b.address, {core::instance_name{"b"}, core::incarnation{1}}, notice(2));
    a.send(b.address, {core::instance_name{"b"}, core::incarnation{}}, notice(3));
    a.send(b.address, {core::instance_name{}, core::incarnation{}}, notice(4));
    BOOST_TEST((b.next().value().message == notice(3)));
    BOOST_TEST((b.next().value().message == notice(4)));
}

BOOST_AUTO_TEST_CASE(sending_to_an_unreachable_peer_does_not_block)
{
    node a{"a"};
    node b{"b"};
    const core::socket_address nobody = test::free_address();
    for (int i = 0; i < 20'000; ++i) {
        a.send(nobody, {core::instance_name{"x"}, core::incarnation{}}, notice(1));
    }
    a.send(b.address, b.identity, notice(2));
    BOOST_TEST((b.next().value().message == notice(2)));
}

BOOST_AUTO_TEST_CASE(a_restarted_peer_receives_messages_again)
{
    node a{"a"};
    const core::socket_address address = test::free_address();
    {
        node first{"b", 1, std::nullopt, address};
        a.send(address, first.identity, notice(1));
        BOOST_TEST((first.next().value().message == notice(1)));
    }
    node second{"b", 2, std::nullopt, address};
    bool reached = false;
    for (int i = 0; i < 50 && !reached; ++i) {
        a.send(address, second.identity, notice(2));
        const auto received = second.next(std::chrono::milliseconds{200});
        reached = received.has_value() && received->message == notice(2);
    }
    BOOST_TEST(reached);
}

BOOST_AUTO_TEST_CASE(only_peers_with_allowed_keys_are_accepted)
{
    const key_pair fleet_keys = make_keys();
    const key_pair allowed_keys = make_keys();
    const key_pair unknown_keys = make_keys();
    node server{"server", 1,
                peer::curve_keys{fleet_keys.public_key,
                                 fleet_keys.secret_key,
                                 fleet_keys.public_key,
                                 {allowed_keys.public_key}}};
    node allowed{"friend", 1,
                 peer::curve_keys{
                     allowed_keys.public_key, allowed_keys.secret_key, fleet_keys.public_key, {}}};
    node unknown{"stranger", 1,
                 peer::curve_keys{
                     unknown_keys.public_key, unknown_keys.secret_key, fleet_keys.public_key, {}}};
    node plain{"unkeyed"};
    unknown.send(server.address, server.identity, notice(1));
    plain.send(server.address, server.identity, notice(2));
    allowed.send(server.address, server.identity, notice(3));
    const auto received = server.next();
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->message == notice(3)));
    BOOST_TEST(!server.next(no_message_wait).has_value());
}

BOOST_AUTO_TEST_CASE(plain_text_requires_a_loopback_address)
{
    const auto received_events = std::make_shared<task::channel<api::peer_event>>();
    peer::peer_task task{{core::instance_name{"a"}, core::incarnation{1},
                          core::socket_address{"10.1.2.3", 7000}, std::nullopt},
                         received_events};
    const absl::Status started = task.start();
    BOOST_REQUIRE(!started.ok());
    BOOST_TEST(std::string{started.message()}.find("peer_keys") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_reported_in_the_error)
{
    node a{"a"};
    const auto received_events = std::make_shared<task::channel<api::peer_event>>();
    peer::peer_task task{{core::instance_name{"b"}, core::incarnation{1}, a.address, std::nullopt},
                         received_events};
    const absl::Status started = task.start();
    BOOST_REQUIRE(!started.ok());
    BOOST_TEST(std::string{started.message()}.find(core::to_string(a.address)) !=
               std::string::npos);
}
