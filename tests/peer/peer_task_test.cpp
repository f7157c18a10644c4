#include "peer/peer_task.hpp"

#include <array>

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;

namespace {

constexpr core::duration longest_wait = std::chrono::seconds{10};
/// Long enough for a message that is let through to arrive.
constexpr core::duration quiet_time = std::chrono::milliseconds{600};

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

/// A peer task whose messages arrive in a channel.
class node {
  public:
    explicit node(const std::string& name, std::uint64_t life = 1,
                  const std::optional<peer::curve_keys>& keys = std::nullopt,
                  const core::socket_address& listen = test::free_address())
        : address{listen}, identity{core::instance_name{name}, core::incarnation{life}},
          task{{identity.name, identity.incarnation, listen, keys}, heard}
    {
        const absl::Status started = task.start();
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.message()});
    }
    ~node() { task.stop(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void send(const core::socket_address& to, const api::peer_identity& whom,
              const api::peer_message& message)
    {
        BOOST_REQUIRE(task.inbox()->post(api::send_to_peers{{{to, whom}}, message}).ok());
    }

    std::optional<api::peer_received> next(core::duration wait = longest_wait)
    {
        const auto event = heard->take(wait);
        return event.has_value() ? std::optional{std::get<api::peer_received>(*event)}
                                 : std::nullopt;
    }

    core::socket_address address;
    api::peer_identity identity;
    std::shared_ptr<task::channel<api::peer_event>> heard =
        std::make_shared<task::channel<api::peer_event>>();
    peer::peer_task task;
};

api::peer_message notice(std::uint64_t revision)
{
    return api::revision_notice{core::revision{revision}};
}

} // namespace

BOOST_AUTO_TEST_CASE(messages_arrive_in_order_with_their_sender)
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

BOOST_AUTO_TEST_CASE(a_message_for_another_life_or_name_is_dropped)
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

BOOST_AUTO_TEST_CASE(sending_to_a_peer_that_is_gone_blocks_nothing)
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

BOOST_AUTO_TEST_CASE(a_peer_that_returns_is_reached_again)
{
    node a{"a"};
    const core::socket_address address = test::free_address();
    {
        node first{"b", 1, std::nullopt, address};
        a.send(address, first.identity, notice(1));
        BOOST_TEST((first.next().value().message == notice(1)));
    }
    node second{"b", 2, std::nullopt, address};
    bool heard_again = false;
    for (int i = 0; i < 50 && !heard_again; ++i) {
        a.send(address, second.identity, notice(2));
        const auto received = second.next(std::chrono::milliseconds{200});
        heard_again = received.has_value() && received->message == notice(2);
    }
    BOOST_TEST(heard_again);
}

BOOST_AUTO_TEST_CASE(only_allowed_keys_are_heard)
{
    const key_pair fleet = make_keys();
    const key_pair known = make_keys();
    const key_pair stranger = make_keys();
    node server{
        "server", 1,
        peer::curve_keys{fleet.public_key, fleet.secret_key, fleet.public_key, {known.public_key}}};
    node friendly{"friend", 1,
                  peer::curve_keys{known.public_key, known.secret_key, fleet.public_key, {}}};
    node other{"stranger", 1,
               peer::curve_keys{stranger.public_key, stranger.secret_key, fleet.public_key, {}}};
    node unkeyed{"unkeyed"};
    other.send(server.address, server.identity, notice(1));
    unkeyed.send(server.address, server.identity, notice(2));
    friendly.send(server.address, server.identity, notice(3));
    const auto received = server.next();
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->message == notice(3)));
    BOOST_TEST(!server.next(quiet_time).has_value());
}

BOOST_AUTO_TEST_CASE(plain_messages_are_for_loopback_only)
{
    const auto heard = std::make_shared<task::channel<api::peer_event>>();
    peer::peer_task task{{core::instance_name{"a"}, core::incarnation{1},
                          core::socket_address{"10.1.2.3", 7000}, std::nullopt},
                         heard};
    const absl::Status started = task.start();
    BOOST_REQUIRE(!started.ok());
    BOOST_TEST(std::string{started.message()}.find("peer_keys") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_taken_address_is_a_clear_error)
{
    node a{"a"};
    const auto heard = std::make_shared<task::channel<api::peer_event>>();
    peer::peer_task task{{core::instance_name{"b"}, core::incarnation{1}, a.address, std::nullopt},
                         heard};
    const absl::Status started = task.start();
    BOOST_REQUIRE(!started.ok());
    BOOST_TEST(std::string{started.message()}.find(core::to_string(a.address)) !=
               std::string::npos);
}
