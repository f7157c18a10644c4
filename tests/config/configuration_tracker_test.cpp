#include "config/configuration_tracker.hpp"

#include <memory>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "config/fakes.hpp"
#include "config/revision_rows.hpp"

using namespace cyclamen;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Goals: a revision is in force at all instances within these times, at the present size of the
/// deployment and at 380 instances.
constexpr core::duration spread_limit = seconds{5};
constexpr core::duration large_spread_limit = seconds{7};
constexpr core::duration probe_period = milliseconds{500};

/// Simulates instances that share a table, in virtual time. Each instance probes a random other one
/// every half second.
class simulated_cluster {
  public:
    struct node final : config::tracker_host {
        node(simulated_cluster& owner, std::size_t position, std::uint64_t seed)
            : cluster{owner}, index{position}, tracker{{}, owner.codec, *this, seed}
        {
        }
        api::table_request read(std::vector<api::row_key> rows) override
        {
            return cluster.table.read(std::move(rows), [this](const api::table_event& event) {
                if (!is_paused) {
                    tracker.on_table_event(event, cluster.table.now);
                }
            });
        }
        void commit(std::vector<api::row_write> writes, core::instant /*now*/) override
        {
            cluster.table.commit(std::move(writes), [](const api::table_event& /*answer*/) {});
        }
        void send(const api::peer_identity& to, api::peer_message message) override
        {
            cluster.transmit(*this, core::parse_number<std::size_t>(to.name.str()).value(),
                             message);
        }
        void send_to_random_peers(std::size_t count, api::peer_message message) override
        {
            for (std::size_t i = 0; i < count; ++i) {
                cluster.transmit(*this, cluster.random() % cluster.nodes.size(), message);
            }
        }
        void put_in_force(const model::configuration_ptr& configuration,
                          core::instant /*now*/) override
        {
            revision_decreased = revision_decreased || configuration->revision <= in_force;
            in_force = configuration->revision;
        }
        void hold_work(bool hold, core::instant /*now*/) override { work_held = hold; }
        [[nodiscard]] api::peer_identity identity() const
        {
            return {core::instance_name{core::concat(index)}, core::incarnation{1}};
        }

        simulated_cluster& cluster;
        const std::size_t index;
        config::configuration_tracker tracker;
        core::revision in_force;
        bool revision_decreased = false;
        bool work_held = false;
        bool is_paused = false;
        bool disconnected = false;
    };

    simulated_cluster(std::size_t count, std::uint64_t seed) : table{seed}, random{seed}
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<node>(*this, i, random()));
        }
        for (const auto& each : nodes) {
            each->tracker.start(table.now);
        }
    }

    void run(core::duration length)
    {
        for (const core::instant end = table.now + length; table.now < end;) {
            step();
        }
    }

    /// Runs until the revision is in force at all instances that are neither paused nor
    /// disconnected.
    /// @return false on timeout
    bool reaches_all_in(core::revision revision, core::duration timeout)
    {
        for (const core::instant end = table.now + timeout; table.now < end;) {
            step();
            if (std::all_of(nodes.begin(), nodes.end(), [&](const auto& each) {
                    return each->is_paused || each->disconnected || each->in_force >= revision;
                })) {
                return true;
            }
        }
        return false;
    }

    /// Writes a revision to the table, as an accepted configuration write does.
    void store_revision(std::uint64_t revision, const std::string& declarations = "declared")
    {
        const api::configuration_copy copy{core::revision{revision},
                                           core::revision{revision - 1},
                                           "ann",
                                           core::concat("n", revision),
                                           {},
                                           declarations,
                                           table.era};
        const api::row_version version{revision, table.era};
        table.rows.insert_or_assign(config::head_row(), std::pair{codec.encode(copy), version});
        table.rows.insert_or_assign(config::revision_row(copy.revision),
                                    std::pair{codec.encode(copy), api::row_version{1, table.era}});
    }

    /// @return true if all instances have these declarations in force, and know that they are the
    /// newest of the table
    [[nodiscard]] bool all_have(const std::string& declarations) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& each) {
            return each->tracker.in_force().has_value() &&
                   each->tracker.in_force()->declarations == declarations &&
                   each->tracker.is_verified(table.now);
        });
    }

    void transmit(node& from, std::size_t to, const api::peer_message& message)
    {
        const core::instant arrives = table.now + milliseconds{1 + random() % 3};
        if (!from.disconnected && !nodes[to]->disconnected &&
            random() % 100 >= message_loss_percent) {
            in_flight_.emplace(arrives, std::tuple{to, from.identity(), message});
        }
    }

    test::plain_codec codec;
    test::lossy_table table;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<node>> nodes;
    std::uint64_t message_loss_percent = 0;

  private:
    std::multimap<core::instant, std::tuple<std::size_t, api::peer_identity, api::peer_message>>
        in_flight_;
    core::instant next_probe_at_{};

    void step()
    {
        table.run(table.now + milliseconds{10});
        while (!in_flight_.empty() && in_flight_.begin()->first <= table.now) {
            const auto [to, from, message] = in_flight_.begin()->second;
            in_flight_.erase(in_flight_.begin());
            if (!nodes[to]->is_paused) {
                nodes[to]->tracker.on_message({from, message}, table.now);
            }
        }
        for (const auto& each : nodes) {
            if (!each->is_paused && each->tracker.next_deadline() <= table.now) {
                each->tracker.on_timer(table.now);
            }
        }
        if (next_probe_at_ <= table.now) {
            next_probe_at_ = table.now + probe_period;
            probe_all();
        }
    }

    void probe_all()
    {
        for (const auto& each : nodes) {
            auto& other = *nodes[random() % nodes.size()];
            if (!each->is_paused && !other.is_paused && !each->disconnected &&
                !other.disconnected) {
                const core::instant now = table.now;
                other.tracker.on_peer_knowledge(each->identity(), each->tracker.knowledge(now),
                                                std::nullopt, now);
                each->tracker.on_peer_knowledge(other.identity(), other.tracker.knowledge(now), now,
                                                now);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(revision_reaches_all_instances_in_time_with_few_table_reads)
{
    simulated_cluster fleet{20, 1};
    fleet.run(seconds{10});
    const int before = fleet.table.reads;
    fleet.run(seconds{20});
    // If each instance read once a second, there would be 400 reads.
    BOOST_TEST(fleet.table.reads - before < 200);
    fleet.store_revision(1);
    BOOST_TEST(fleet.reaches_all_in(core::revision{1}, spread_limit));
}

BOOST_AUTO_TEST_CASE(revision_reaches_380_instances_in_time_despite_losses)
{
    simulated_cluster fleet{380, 2};
    fleet.run(seconds{10});
    fleet.message_loss_percent = 10;
    fleet.table.loss = 0.2;
    fleet.store_revision(1);
    BOOST_TEST(fleet.reaches_all_in(core::revision{1}, large_spread_limit));
}

BOOST_AUTO_TEST_CASE(new_instance_gets_the_configuration_from_peers_during_a_table_outage)
{
    simulated_cluster fleet{5, 3};
    fleet.store_revision(1);
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    fleet.table.is_unavailable = true;
    fleet.run(std::chrono::minutes{5});
    BOOST_TEST(!fleet.nodes[0]->tracker.is_verified(fleet.table.now));
    fleet.nodes.push_back(std::make_unique<simulated_cluster::node>(fleet, fleet.nodes.size(), 9));
    auto& new_node = *fleet.nodes.back();
    new_node.tracker.start(fleet.table.now);
    BOOST_TEST(!new_node.tracker.is_ready());
    BOOST_TEST(fleet.reaches_all_in(core::revision{1}, spread_limit));
    BOOST_TEST(new_node.tracker.is_ready());
}

BOOST_AUTO_TEST_CASE(new_instance_without_peers_is_not_ready_during_a_table_outage)
{
    simulated_cluster fleet{1, 3};
    fleet.table.is_unavailable = true;
    fleet.run(std::chrono::minutes{1});
    BOOST_TEST(!fleet.nodes[0]->tracker.is_ready());
}

BOOST_AUTO_TEST_CASE(work_is_held_after_a_pause_until_the_revision_is_verified)
{
    simulated_cluster fleet{5, 4};
    fleet.store_revision(1);
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    fleet.run(seconds{5});
    auto& paused_node = *fleet.nodes[2];
    paused_node.is_paused = true;
    fleet.store_revision(2);
    fleet.run(seconds{30});
    paused_node.is_paused = false;
    BOOST_TEST(!paused_node.tracker.is_verified(fleet.table.now));
    paused_node.tracker.paused(fleet.table.now);
    BOOST_TEST(paused_node.work_held);
    BOOST_TEST(fleet.reaches_all_in(core::revision{2}, seconds{2}));
    fleet.run(seconds{2});
    BOOST_TEST(!paused_node.work_held);
}

BOOST_AUTO_TEST_CASE(unreadable_configuration_leaves_the_previous_one_in_force)
{
    simulated_cluster fleet{3, 5};
    fleet.store_revision(1);
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    fleet.store_revision(2, "unreadable");
    fleet.run(seconds{10});
    BOOST_TEST(fleet.nodes[0]->in_force.value() == 1U);
    fleet.store_revision(3);
    BOOST_TEST(fleet.reaches_all_in(core::revision{3}, spread_limit));
}

BOOST_AUTO_TEST_CASE(a_confirmed_revision_that_a_restored_table_has_lost_is_written_again)
{
    simulated_cluster fleet{5, 6};
    fleet.store_revision(1, "one");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    const auto earlier = fleet.table.rows;
    fleet.store_revision(2, "two");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{2}, spread_limit));
    fleet.table.restore(earlier);
    // Longer than a verification from before the restore lasts.
    fleet.run(seconds{12});
    BOOST_TEST(fleet.all_have("two"));
    BOOST_TEST(fleet.table.rows.contains(config::revision_row(core::revision{2})));
    const auto head = fleet.codec.decode(fleet.table.rows.at(config::head_row()).first);
    BOOST_TEST(head->revision.value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_confirmed_revision_is_written_again_to_a_table_that_is_restored_to_no_rows)
{
    simulated_cluster fleet{3, 7};
    fleet.store_revision(1, "one");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    fleet.table.restore({});
    fleet.run(seconds{12});
    BOOST_TEST(fleet.all_have("one"));
    BOOST_TEST(fleet.table.rows.contains(config::revision_row(core::revision{1})));
}

BOOST_AUTO_TEST_CASE(
    revisions_before_the_one_in_force_that_a_restored_table_has_lost_are_written_again)
{
    simulated_cluster fleet{5, 10};
    fleet.store_revision(1, "one");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    const auto earlier = fleet.table.rows;
    for (const auto& [revision, declarations] :
         std::map<std::uint64_t, std::string>{{2, "two"}, {3, "three"}, {4, "four"}}) {
        fleet.store_revision(revision, declarations);
        BOOST_REQUIRE(fleet.reaches_all_in(core::revision{revision}, spread_limit));
    }
    fleet.table.restore(earlier);
    fleet.run(seconds{12});
    BOOST_TEST(fleet.all_have("four"));
    for (const auto& [revision, declarations] :
         std::map<std::uint64_t, std::string>{{1, "one"}, {2, "two"}, {3, "three"}, {4, "four"}}) {
        const auto row = fleet.table.rows.find(config::revision_row(core::revision{revision}));
        BOOST_REQUIRE_MESSAGE(row != fleet.table.rows.end(), "revision " << revision);
        BOOST_TEST(fleet.codec.decode(row->second.first)->declarations == declarations);
    }
}

BOOST_AUTO_TEST_CASE(lost_revisions_that_were_given_out_again_are_not_written_again)
{
    simulated_cluster fleet{5, 11};
    fleet.store_revision(1, "one");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    const auto earlier = fleet.table.rows;
    for (const std::uint64_t revision : {2, 3}) {
        fleet.store_revision(revision, "lost");
        BOOST_REQUIRE(fleet.reaches_all_in(core::revision{revision}, spread_limit));
    }
    fleet.table.restore(earlier);
    fleet.store_revision(2, "later");
    fleet.run(spread_limit);
    BOOST_REQUIRE(fleet.all_have("later"));
    fleet.table.restore(earlier);
    fleet.run(seconds{12});
    BOOST_TEST(fleet.all_have("later"));
    BOOST_TEST(!fleet.table.rows.contains(config::revision_row(core::revision{3})));
}

BOOST_AUTO_TEST_CASE(a_revision_that_is_given_out_again_replaces_the_lost_one_everywhere)
{
    simulated_cluster fleet{5, 8};
    fleet.store_revision(1, "one");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    const auto earlier = fleet.table.rows;
    fleet.store_revision(2, "lost");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{2}, spread_limit));
    fleet.table.restore(earlier);
    fleet.store_revision(2, "later");
    fleet.run(spread_limit);
    BOOST_TEST(fleet.all_have("later"));
}

BOOST_AUTO_TEST_CASE(a_revision_below_the_lost_ones_is_taken_over_after_a_restore)
{
    simulated_cluster fleet{5, 9};
    fleet.store_revision(1, "one");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{1}, spread_limit));
    const auto earlier = fleet.table.rows;
    fleet.store_revision(2, "lost");
    fleet.store_revision(3, "lost");
    BOOST_REQUIRE(fleet.reaches_all_in(core::revision{3}, spread_limit));
    fleet.table.restore(earlier);
    fleet.store_revision(2, "later");
    fleet.run(spread_limit);
    BOOST_TEST(fleet.all_have("later"));
}

RC_BOOST_PROP(revision_in_force_never_decreases, ())
{
    simulated_cluster fleet{*rc::gen::inRange<std::size_t>(2, 8),
                            *rc::gen::arbitrary<std::uint64_t>()};
    std::uint64_t revision = 0;
    for (int i = *rc::gen::inRange(1, 15); i > 0; --i) {
        auto& node = *fleet.nodes[*rc::gen::inRange<std::size_t>(0, fleet.nodes.size())];
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            fleet.store_revision(++revision);
            break;
        case 1:
            node.is_paused = !node.is_paused;
            if (!node.is_paused) {
                node.tracker.paused(fleet.table.now);
            }
            break;
        case 2:
            node.disconnected = !node.disconnected;
            break;
        case 3:
            fleet.table.is_unavailable = !fleet.table.is_unavailable;
            break;
        case 4:
            fleet.message_loss_percent = *rc::gen::inRange<std::uint64_t>(0, 60);
            break;
        default:
            fleet.table.loss = *rc::gen::inRange(0, 60) / 100.0;
        }
        fleet.run(milliseconds{*rc::gen::inRange(10, 4000)});
        for (const auto& each : fleet.nodes) {
            RC_ASSERT(!each->revision_decreased);
            RC_ASSERT(each->in_force.value() <= revision);
        }
    }
    fleet.table.is_unavailable = false;
    fleet.table.loss = 0;
    fleet.message_loss_percent = 0;
    for (const auto& each : fleet.nodes) {
        each->is_paused = false;
        each->disconnected = false;
    }
    RC_ASSERT(fleet.reaches_all_in(core::revision{revision}, seconds{10}));
}
