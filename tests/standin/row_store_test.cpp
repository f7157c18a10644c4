#include "standin/row_store.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

#include "standin/row_store_task.hpp"
#include "support/ports.hpp"
#include "support/raw_exchange.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

constexpr int status_ok = 200;
constexpr int status_history_lost = 410;
constexpr int status_condition_failed = 412;
constexpr int status_unavailable = 503;

/// A listening store and calls to it.
class store_fixture {
  public:
    store_fixture() { BOOST_REQUIRE(store_.start().ok()); }

    void send(standin::row_store_message message)
    {
        const absl::Status posted = store_.inbox()->post(std::move(message));
        BOOST_REQUIRE(posted.ok());
        std::this_thread::sleep_for(20ms);
    }

    /// @return the whole answer with its head, empty if there was none
    std::string call(const std::string& method, const std::string& path,
                     const std::string& body = "")
    {
        return test::exchange_raw(address_, method + " " + path +
                                                " HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                                                "Content-Length: " +
                                                std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Puts a row as the system does.
    bool put(const std::string& key)
    {
        return has_status(
            call("POST", "/rows-tx",
                 R"({"expected_revision":[],"remove":[],"put":[{"table":"t","part":"","key":")" +
                     key + R"(","value":"eA=="}]})"),
            status_ok);
    }

    std::string read(const std::string& table) { return call("GET", "/rows-get?table=" + table); }

    static bool has_status(const std::string& answer, int status)
    {
        return answer.starts_with("HTTP/1.1 " + std::to_string(status));
    }

    static bool has_era(const std::string& answer, const std::string& era)
    {
        return answer.find("Store-Era: " + era + "\r\n") != std::string::npos;
    }

  private:
    const core::socket_address address_ = test::free_address();
    standin::row_store_task store_{standin::row_store_settings{address_}};
};

} // namespace

BOOST_AUTO_TEST_CASE(transaction_is_applied_completely_or_not_at_all)
{
    standin::row_store rows;
    BOOST_TEST(rows.commit({{"t", "a", 0}}, {{"t", "a", "1", false}}));
    BOOST_TEST(!rows.commit({{"t", "a", 0}}, {{"t", "b", "1", false}}));
    BOOST_TEST(rows.version() == 1U);
    BOOST_TEST(rows.commit({{"t", "a", 1}}, {{"t", "a", "", true}, {"t", "b", "2", false}}));
    const auto read = rows.read("t", "", 10);
    BOOST_REQUIRE(read.rows.size() == 1U);
    BOOST_TEST(read.rows.at(0).key == "b");
    BOOST_TEST((read.version == core::store_version{0, 2}));
}

BOOST_AUTO_TEST_CASE(table_is_read_in_parts)
{
    standin::row_store rows;
    for (const char* key : {"a", "b", "c"}) {
        BOOST_TEST(rows.commit({}, {{"t", key, "", false}}));
    }
    BOOST_TEST(!rows.read("t", "", 2).complete);
    BOOST_TEST(rows.read("t", "b", 2).complete);
    BOOST_TEST(rows.read("t", "b", 2).rows.size() == 2U);
    BOOST_TEST(rows.read("other", "", 2).rows.empty());
}

BOOST_AUTO_TEST_CASE(changes_are_returned_until_the_history_is_dropped)
{
    standin::row_store rows;
    BOOST_TEST(rows.commit({}, {{"t", "a", "1", false}}));
    BOOST_TEST(rows.commit({}, {{"t", "a", "", true}}));
    BOOST_TEST(rows.commit({}, {{"u", "a", "1", false}}));
    const auto changes = rows.changes("t", 1);
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->rows.size() == 1U);
    BOOST_TEST(changes->rows.at(0).removed);
    rows.drop_history();
    BOOST_TEST(!rows.changes("t", 1).has_value());
    BOOST_TEST(rows.changes("t", 3)->rows.empty());
}

BOOST_AUTO_TEST_CASE(a_restored_copy_has_the_earlier_rows_and_gives_versions_out_again)
{
    standin::row_store rows;
    BOOST_TEST(rows.commit({}, {{"t", "a", "1", false}, {"t", "b", "1", false}}));
    BOOST_TEST(rows.commit({}, {{"t", "a", "2", false}, {"t", "c", "1", false}}));
    rows.write_externally({{"op", "config", "1", false}});
    BOOST_TEST(rows.commit({}, {{"t", "b", "", true}, {"t", "a", "3", false}}));
    BOOST_TEST(rows.era() == 1U);
    const auto lost = rows.restore(1);
    BOOST_TEST(rows.era() == 2U);
    BOOST_TEST(rows.version() == 1U);
    const auto read = rows.read("t", "", 10);
    BOOST_REQUIRE(read.rows.size() == 2U);
    BOOST_TEST((read.rows.at(0) == replica::row{"a", "1", core::store_version{0, 1}, false}));
    BOOST_TEST((read.rows.at(1) == replica::row{"b", "1", core::store_version{0, 1}, false}));
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST((lost.at(0).at(0) == standin::row_write{"op", "config", "1", false}));
    BOOST_TEST(rows.commit({{"t", "a", 1}}, {{"t", "d", "1", false}}));
    BOOST_TEST(rows.version() == 2U);
    BOOST_REQUIRE(rows.changes("t", 1)->rows.size() == 1U);
    BOOST_TEST(rows.changes("t", 1)->rows.at(0).key == "d");
}

BOOST_AUTO_TEST_CASE(changes_after_a_version_that_a_restored_copy_does_not_have_are_unknown)
{
    standin::row_store rows;
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(rows.commit({}, {{"t", "a", "", false}}));
    }
    rows.drop_history();
    static_cast<void>(rows.restore(3));
    BOOST_TEST(!rows.changes("t", 5).has_value());
    BOOST_TEST(!rows.changes("t", 4).has_value());
    BOOST_TEST(rows.changes("t", 3)->rows.empty());
}

BOOST_AUTO_TEST_CASE(a_restored_store_has_lost_the_system_s_rows_and_gets_the_others_again)
{
    store_fixture store;
    store.send(standin::write_rows{{{"op", "kept", "1", false}, {"op", "removed", "1", false}}});
    BOOST_TEST(store.put("early"));
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(store.put("late"));
    store.send(standin::write_rows{{{"op", "added", "1", false}, {"op", "removed", "", true}}});
    store.send(standin::restore_copy{200ms, 100ms, 100ms});
    BOOST_TEST(store.read("t").empty());
    std::this_thread::sleep_for(120ms);
    BOOST_TEST(store.read("op").find("added") == std::string::npos);
    BOOST_TEST(store.read("op").find("removed") != std::string::npos);
    std::this_thread::sleep_for(150ms);
    BOOST_TEST(store.read("t").find("early") != std::string::npos);
    BOOST_TEST(store.read("t").find("late") == std::string::npos);
    BOOST_TEST(store.read("op").find("kept") != std::string::npos);
    BOOST_TEST(store.read("op").find("added") != std::string::npos);
    BOOST_TEST(store.read("op").find("removed") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_waiting_call_after_a_version_that_a_restore_takes_back_is_ended)
{
    store_fixture store;
    BOOST_TEST(store.put("a"));
    std::thread restorer{[&] {
        std::this_thread::sleep_for(100ms);
        store.send(standin::restore_copy{1s, 0ms});
    }};
    const auto answer = store.call("GET", "/rows-feed?table=t&after=1&wait_ms=1500");
    restorer.join();
    BOOST_TEST(store_fixture::has_status(answer, status_history_lost));
    BOOST_TEST(store_fixture::has_era(answer, "2"));
}

BOOST_AUTO_TEST_CASE(every_answer_of_a_store_names_its_era)
{
    store_fixture store;
    for (const std::string era : {"1", "2", "3"}) {
        BOOST_TEST(store_fixture::has_era(store.call("GET", "/rows-get?table=t"), era));
        const auto unknown = store.call("GET", "/rows-feed?table=t&after=9&wait_ms=10");
        BOOST_TEST(store_fixture::has_status(unknown, status_history_lost));
        BOOST_TEST(store_fixture::has_era(unknown, era));
        const auto refused = store.call(
            "POST", "/rows-tx",
            R"({"expected_revision":[{"table":"t","part":"","key":"a","schema_version":9}]})");
        BOOST_TEST(store_fixture::has_status(refused, status_condition_failed));
        BOOST_TEST(store_fixture::has_era(refused, era));
        store.send(standin::set_row_store_fault{standin::row_store_fault::busy});
        const auto busy = store.call("GET", "/rows-get?table=t");
        BOOST_TEST(store_fixture::has_status(busy, status_unavailable));
        BOOST_TEST(store_fixture::has_era(busy, era));
        store.send(standin::set_row_store_fault{standin::row_store_fault::none});
        store.send(standin::restore_copy{1s, 0ms});
    }
}
