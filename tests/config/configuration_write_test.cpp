#include "config/configuration_write.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "chart/library.hpp"
#include "config/fakes.hpp"
#include "config/revision_rows.hpp"
#include "core/cell.hpp"

using namespace cyclamen;

namespace {

/// Runs one configuration write and records its answers.
struct writer final : config::write_host {
    writer(test::lossy_table& shared_table, const std::string& name,
           std::optional<core::revision> expected = std::nullopt)
        : table{shared_table}, nonce{"nonce-" + name},
          write{{},
                chart::library::embedded()
                    .load("configuration_write", config::configuration_write_vocabulary())
                    .value(),
                {name, nonce, "declared", expected},
                codec,
                *this}
    {
        write.start(table.now);
    }
    writer(const writer&) = delete;
    writer& operator=(const writer&) = delete;

    api::table_request read(std::vector<api::row_key> rows) override
    {
        return table.read(std::move(rows), answer());
    }
    api::table_request commit(std::vector<api::row_write> writes) override
    {
        return table.commit(std::move(writes), answer());
    }
    void take_over(const api::configuration_copy& /*accepted*/) override { ++take_over_count; }
    void accepted(const api::configuration_copy& given) override
    {
        ++answer_count;
        accepted_as = given.revision;
        accepted_era = given.era;
    }
    void refused(const core::failure& reason) override
    {
        ++answer_count;
        refusal.emplace(reason);
    }
    [[nodiscard]] api::configuration_position in_force() const override
    {
        return in_force_position.get();
    }
    [[nodiscard]] core::wall_time wall() const override { return {}; }

    std::function<void(api::table_event)> answer()
    {
        return [this](const api::table_event& event) { write.on_table_event(event, table.now); };
    }

    /// @return true if the table holds the revision row of this write
    [[nodiscard]] bool is_stored() const
    {
        for (const auto& [key, stored_row] : table.rows) {
            const auto copy = codec.decode(stored_row.first);
            if (key != config::head_row() && copy->nonce == nonce) {
                return true;
            }
        }
        return false;
    }

    test::lossy_table& table;
    test::plain_codec codec;
    std::string nonce;
    int answer_count = 0;
    int take_over_count = 0;
    std::optional<core::revision> accepted_as;
    std::optional<api::table_era> accepted_era;
    core::cell<api::configuration_position> in_force_position{api::configuration_position{}};
    std::optional<core::failure> refusal;
    config::configuration_write write;
};

void run(test::lossy_table& table, const std::vector<std::unique_ptr<writer>>& writers,
         core::duration length)
{
    for (const core::instant end = table.now + length; table.now < end;) {
        table.run(table.now + std::chrono::milliseconds{5});
        for (const auto& each : writers) {
            each->write.on_timer(table.now);
        }
    }
}

std::vector<std::unique_ptr<writer>>
single_writer(test::lossy_table& table, const std::string& name,
              std::optional<core::revision> expected = std::nullopt)
{
    std::vector<std::unique_ptr<writer>> writers;
    writers.push_back(std::make_unique<writer>(table, name, expected));
    return writers;
}

} // namespace

BOOST_AUTO_TEST_CASE(successive_writes_get_successive_revisions)
{
    test::lossy_table table{1};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        const auto writers = single_writer(table, core::concat("ann", i));
        run(table, writers, std::chrono::seconds{1});
        BOOST_TEST((writers[0]->accepted_as == core::revision{i}));
        BOOST_TEST(writers[0]->take_over_count == 1);
    }
}

BOOST_AUTO_TEST_CASE(conflict_error_names_the_winning_revision_and_its_author)
{
    test::lossy_table table{1};
    run(table, single_writer(table, "ann"), std::chrono::seconds{1});
    const auto late_writer = single_writer(table, "bob", core::revision{0});
    run(table, late_writer, std::chrono::seconds{1});
    BOOST_REQUIRE(late_writer[0]->refusal.has_value());
    BOOST_TEST((late_writer[0]->refusal->kind == core::error_kind::conflict));
    BOOST_TEST(late_writer[0]->refusal->message.find("revision 1 of ann") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(write_during_a_table_outage_is_refused_as_not_run)
{
    test::lossy_table table{1};
    table.is_unavailable = true;
    const auto writers = single_writer(table, "ann");
    run(table, writers, std::chrono::seconds{1});
    BOOST_REQUIRE(writers[0]->refusal.has_value());
    BOOST_TEST((writers[0]->refusal->kind == core::error_kind::unavailable));
    BOOST_TEST(writers[0]->refusal->not_run);
}

BOOST_AUTO_TEST_CASE(a_write_whose_table_is_restored_before_it_is_read_back_has_an_unknown_outcome)
{
    test::lossy_table table{1};
    run(table, single_writer(table, "ann"), std::chrono::seconds{1});
    const auto earlier = table.rows;
    const auto writers = single_writer(table, "bob");
    for (int step = 0; step < 1000 && !writers[0]->is_stored(); ++step) {
        run(table, writers, std::chrono::milliseconds{5});
    }
    BOOST_REQUIRE(writers[0]->is_stored());
    BOOST_REQUIRE(writers[0]->answer_count == 0);
    table.restore(earlier);
    run(table, writers, std::chrono::seconds{5});
    // Another instance may have read it, and may write it again.
    BOOST_REQUIRE(writers[0]->refusal.has_value());
    BOOST_TEST((writers[0]->refusal->kind == core::error_kind::outcome_unknown));
    BOOST_TEST(!writers[0]->refusal->not_run);
}

BOOST_AUTO_TEST_CASE(a_write_does_not_follow_a_head_that_has_lost_a_confirmed_revision)
{
    test::lossy_table table{1};
    run(table, single_writer(table, "ann"), std::chrono::seconds{1});
    const auto earlier = table.rows;
    run(table, single_writer(table, "bob"), std::chrono::seconds{1});
    const auto lost = table.rows;
    table.restore(earlier);
    const auto writers = single_writer(table, "cid", core::revision{2});
    writers[0]->in_force_position.set({api::table_era{}, core::revision{2}});
    run(table, writers, std::chrono::seconds{2});
    BOOST_TEST(writers[0]->answer_count == 0);
    for (const auto& [key, stored] : lost) {
        table.rows.insert_or_assign(key, std::pair{stored.first, api::row_version{9, table.era}});
    }
    run(table, writers, std::chrono::seconds{2});
    BOOST_TEST((writers[0]->accepted_as == core::revision{3}));
    BOOST_TEST((writers[0]->accepted_era == table.era));
}

RC_BOOST_PROP(answers_match_the_stored_rows_whatever_the_table_loses, ())
{
    test::lossy_table table{*rc::gen::arbitrary<std::uint64_t>()};
    table.loss = *rc::gen::inRange(0, 60) / 100.0;
    std::vector<std::unique_ptr<writer>> writers;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        writers.push_back(std::make_unique<writer>(table, core::concat("op", i)));
        run(table, writers, std::chrono::milliseconds{*rc::gen::inRange(0, 300)});
    }
    const bool outage = *rc::gen::arbitrary<bool>();
    run(table, writers, std::chrono::milliseconds{500});
    table.is_unavailable = outage;
    run(table, writers, std::chrono::seconds{5});
    table.is_unavailable = false;
    run(table, writers, std::chrono::seconds{70});
    std::set<core::revision> revisions;
    for (const auto& each : writers) {
        RC_ASSERT(each->answer_count == 1);
        if (each->accepted_as.has_value()) {
            RC_ASSERT(each->is_stored());
            RC_ASSERT(revisions.insert(*each->accepted_as).second);
        }
        else if (each->refusal->kind != core::error_kind::outcome_unknown) {
            RC_ASSERT(!each->is_stored());
        }
        else {
            RC_ASSERT(!each->refusal->not_run);
        }
    }
}
