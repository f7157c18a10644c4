#include "load/arrival_plan.hpp"

#include <cmath>

#include "core/hash.hpp"
#include "core/text.hpp"

namespace cyclamen::load {

namespace {

/// Pseudo-random generator whose sequence doesn't depend on the standard library; the distributions
/// of <random> are implementation-defined.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : state_{seed} {}

    std::uint64_t next()
    {
        state_ = core::hash_of("next", state_);
        return state_;
    }

    /// @return a uniformly distributed number in [0, 1)
    double fraction()
    {
        constexpr double two_to_53 = 9007199254740992.0;
        constexpr int unused_bits = 11;
        return static_cast<double>(next() >> unused_bits) / two_to_53;
    }

    /// @return true with the given probability
    bool chance(double probability) { return fraction() < probability; }

    /// @return an integer in the range, both bounds included
    std::uint64_t uniform(length_range range)
    {
        return range.min + next() % (range.max - range.min + 1);
    }

  private:
    std::uint64_t state_;
};

/// Draws an account with a probability proportional to its weight.
/// @return index of the account
std::size_t choose_account(const std::vector<load_account>& accounts, random_source& random)
{
    double total = 0;
    for (const load_account& each : accounts) {
        total += each.weight;
    }
    double remaining = random.fraction() * total;
    for (std::size_t index = 0; index + 1 < accounts.size(); ++index) {
        remaining -= accounts[index].weight;
        if (remaining < 0) {
            return index;
        }
    }
    return accounts.size() - 1;
}

/// Builds a prompt from one of the shared prefixes and a suffix that is unique to the request.
std::string make_prompt(const load_settings& settings, std::size_t number, random_source& random)
{
    const std::uint64_t prefix = random.next() % settings.prefixes;
    std::string prompt;
    for (std::uint32_t word = 0; word < settings.prefix_words; ++word) {
        core::append(prompt, "p", prefix, "w", word, " ");
    }
    return core::concat(prompt, "request ", settings.seed, " ", number);
}

} // namespace

std::vector<planned_request> plan_arrivals(const load_settings& settings)
{
    random_source random{settings.seed};
    std::vector<planned_request> plan;
    double arrival_s = 0;
    const double end_of_load_s = core::to_seconds(settings.length);
    while (plan.size() < settings.most_requests) {
        arrival_s -= std::log(1.0 - random.fraction()) / settings.rate;
        if (arrival_s >= end_of_load_s) {
            break;
        }
        const std::size_t number = plan.size();
        const std::size_t account = choose_account(settings.accounts, random);
        const bool is_long = random.chance(settings.long_share);
        const bool streaming = !random.chance(settings.whole_share);
        const bool keyed = random.chance(settings.keyed_share);
        plan.push_back(planned_request{
            core::from_seconds(arrival_s), account,
            keyed ? core::concat("key-", settings.seed, "-", number) : std::string{},
            make_prompt(settings, number, random),
            random.uniform(is_long ? settings.long_answer : settings.short_answer), streaming});
    }
    return plan;
}

} // namespace cyclamen::load
