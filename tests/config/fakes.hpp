#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "api/table_messages.hpp"
#include "config/configuration_write.hpp"
#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::test {

/// Encodes rows as plain text, so that tests don't depend on the real encoding.
class plain_codec final : public config::revision_codec {
  public:
    [[nodiscard]] std::string encode(const api::configuration_copy& copy) const override
    {
        return core::concat(copy.revision.value(), "|", copy.base.value(), "|", copy.author, ".|",
                            copy.nonce, "|", copy.declarations, ".|", copy.era.value());
    }
    [[nodiscard]] absl::StatusOr<api::configuration_copy>
    decode(const std::string& value) const override
    {
        const auto parts = core::split(value, '|');
        return api::configuration_copy{
            core::revision{core::parse_number<std::uint64_t>(parts[0]).value()},
            core::revision{core::parse_number<std::uint64_t>(parts[1]).value()},
            std::string{parts[2].substr(0, parts[2].size() - 1)},
            std::string{parts[3]},
            core::wall_time{},
            std::string{parts[4].substr(0, parts[4].size() - 1)},
            api::table_era{core::parse_number<std::uint64_t>(parts[5]).value()}};
    }
    [[nodiscard]] absl::StatusOr<model::configuration_ptr>
    read_declarations(const api::configuration_copy& copy) const override
    {
        if (copy.declarations == "unreadable") {
            return core::make_error(core::error_kind::invalid_argument, "unreadable", "fix it");
        }
        return std::make_shared<const model::configuration>(
            model::configuration{copy.revision, {}, {}, {}});
    }
};

/// Simulates a table in virtual time that answers slowly, loses answers and applies some writes
/// late.
class lossy_table {
  public:
    static constexpr core::duration answer_timeout = std::chrono::seconds{1};

    explicit lossy_table(std::uint64_t seed) : random_{seed} {}

    api::table_request read(std::vector<api::row_key> keys,
                            std::function<void(api::table_event)> answer)
    {
        const api::table_request request = next();
        enqueue(request, false, std::move(answer), [this, request, keys = std::move(keys)] {
            std::vector<api::row> found;
            for (const api::row_key& key : keys) {
                if (const auto row = rows.find(key); row != rows.end()) {
                    found.push_back(api::row{key, row->second.first, row->second.second});
                }
            }
            return api::table_event{api::table_rows{request, std::move(found), era}};
        });
        return request;
    }

    api::table_request commit(std::vector<api::row_write> writes,
                              std::function<void(api::table_event)> answer)
    {
        const api::table_request request = next();
        enqueue(request, true, std::move(answer), [this, request, writes = std::move(writes)] {
            for (const api::row_write& write : writes) {
                const api::row_version version = version_of(write.key);
                const bool is_absent_in_any_era =
                    write.expected == api::row_version{} && version.is_absent();
                if (version != write.expected.value_or(version) && !is_absent_in_any_era) {
                    return api::table_event{api::table_conflict{request, {}, era}};
                }
            }
            for (const api::row_write& write : writes) {
                const auto version = version_of(write.key).next();
                rows.insert_or_assign(write.key, std::pair{write.value, version});
            }
            return api::table_event{api::table_committed{request, era}};
        });
        return request;
    }

    using row_map = std::map<api::row_key, std::pair<std::string, api::row_version>>;

    /// Returns to earlier rows; what was written since is lost.
    void restore(const row_map& earlier)
    {
        era = era.next();
        rows.clear();
        for (const auto& [key, stored] : earlier) {
            rows.emplace(key,
                         std::pair{stored.first, api::row_version{stored.second.value(), era}});
        }
    }

    void run(core::instant until)
    {
        while (!scheduled_.empty() && scheduled_.begin()->first <= until) {
            now = std::max(now, scheduled_.begin()->first);
            const auto step = scheduled_.begin()->second;
            scheduled_.erase(scheduled_.begin());
            step();
        }
        now = until;
    }

    core::instant now{std::chrono::hours{1}};
    row_map rows;
    api::table_era era;
    bool is_unavailable = false;
    double loss = 0;
    int reads = 0;

  private:
    std::mt19937_64 random_;
    std::multimap<core::instant, std::function<void()>> scheduled_;
    std::uint64_t last_ = 0;

    api::table_request next() { return api::table_request{++last_}; }

    api::row_version version_of(const api::row_key& key) const
    {
        const auto found = rows.find(key);
        return found == rows.end() ? api::row_version{0, era} : found->second.second;
    }

    bool occurs(double chance) { return std::uniform_real_distribution<>{}(random_) < chance; }

    void enqueue(api::table_request request, bool is_write,
                 std::function<void(api::table_event)> answer,
                 std::function<api::table_event()> apply)
    {
        reads += is_write ? 0 : 1;
        const core::instant arrives = now + std::chrono::milliseconds{1 + random_() % 20};
        if (is_unavailable) {
            scheduled_.emplace(arrives, [=] { answer(api::table_failed{request, false, "out"}); });
            return;
        }
        if (!occurs(loss)) {
            scheduled_.emplace(arrives, [=] { answer(apply()); });
            return;
        }
        // The answer is lost. The request is either lost too or applied, possibly after the sender
        // has timed out.
        scheduled_.emplace(now + answer_timeout, [=] {
            answer(api::table_failed{request, is_write, "no answer"});
        });
        if (occurs(0.7)) {
            const auto late = std::chrono::milliseconds{random_() % 4000};
            scheduled_.emplace(now + late, [=] { static_cast<void>(apply()); });
        }
    }
};

} // namespace cyclamen::test
