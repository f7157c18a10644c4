#include <array>
#include <deque>
#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "relay/crash_evidence.hpp"

using namespace cyclamen;
using relay::request_traits;

namespace {

constexpr std::size_t instance_count = 3;
/// The rule of the platform counts from the fifth crash.
constexpr std::size_t max_crashes = 5;

/// The evidence of a fleet of instances that tell each other of crashes through a store. One prompt
/// part crashes each target; sound requests share the other part, and some their content.
class fleet {
  public:
    /// Runs one step.
    /// @param choice kind of the step
    /// @param detail instance, and what is on the target
    void step(std::uint8_t choice, std::uint8_t detail)
    {
        const std::size_t instance = detail % instance_count;
        switch (choice % 6) {
        case 0:
        case 1:
            send_deadly(instance, detail);
            break;
        case 2:
        case 3:
            send_sound(instance, detail);
            break;
        case 4:
            deliver(instance);
            break;
        default:
            restart(instance);
            break;
        }
    }

    void deliver_all()
    {
        for (std::size_t i = 0; i < instance_count; ++i) {
            deliver(i);
        }
    }

    /// @return true if some instance refuses requests with these traits
    bool refuses(const request_traits& traits)
    {
        return std::any_of(instances_.begin(), instances_.end(), [&](auto& each) {
            return each.quarantine_of(service_, traits, now_).has_value();
        });
    }

    /// @return true if all instances refuse requests with these traits
    bool all_refuse(const request_traits& traits)
    {
        return std::all_of(instances_.begin(), instances_.end(), [&](auto& each) {
            return each.quarantine_of(service_, traits, now_).has_value();
        });
    }

    [[nodiscard]] std::size_t crashes() const { return crashes_; }
    [[nodiscard]] std::size_t max_crashes_after_delivery() const { return late_crashes_; }

  private:
    const core::service_name service_{"engines"};
    const core::instant now_{};
    std::array<relay::crash_evidence, instance_count> instances_;
    std::array<std::deque<relay::crash_record>, instance_count> undelivered_;
    std::map<std::string, relay::crash_record> store_;
    std::size_t records_ = 0;
    std::size_t requests_ = 0;
    std::size_t crashes_ = 0;
    std::size_t late_crashes_ = 0;

    request_traits sound_request(std::uint8_t detail)
    {
        // A few requests come again and again.
        const std::size_t content = detail % 4 == 0 ? detail : 1000 + ++requests_;
        return {"shared", "request:" + std::to_string(content)};
    }

    void lose(std::size_t instance, const std::string& target, const request_traits& traits)
    {
        instances_[instance].add_own(
            relay::crash_record{"r-" + std::to_string(++records_), service_, traits, target}, now_);
    }

    void report(std::size_t instance)
    {
        for (const relay::crash_record& each : instances_[instance].take_reports()) {
            store_.erase(each.name);
            store_.emplace(each.name, each);
            for (auto& queue : undelivered_) {
                queue.push_back(each);
            }
        }
    }

    void send_deadly(std::size_t instance, std::uint8_t detail)
    {
        const request_traits deadly{
            "shared", "deadly", "request:d" + std::to_string(detail % 3 == 0 ? 0 : ++requests_)};
        if (instances_[instance].quarantine_of(service_, deadly, now_).has_value()) {
            return;
        }
        const bool all_known = std::all_of(undelivered_.begin(), undelivered_.end(),
                                           [](const auto& queue) { return queue.empty(); });
        late_crashes_ += all_known && crashes_ >= max_crashes ? 1 : 0;
        const std::string target = "t-" + std::to_string(++crashes_);
        lose(instance, target, deadly);
        for (std::size_t beside = 0; beside < detail / 3 % 4; ++beside) {
            lose(instance, target, sound_request(static_cast<std::uint8_t>(detail + beside)));
        }
        report(instance);
    }

    void send_sound(std::size_t instance, std::uint8_t detail)
    {
        const request_traits sound = sound_request(detail);
        if (!instances_[instance].quarantine_of(service_, sound, now_).has_value()) {
            instances_[instance].add_answered(service_, sound);
        }
        report(instance);
    }

    void deliver(std::size_t instance)
    {
        for (const relay::crash_record& each : undelivered_[instance]) {
            instances_[instance].add(each, now_);
        }
        undelivered_[instance].clear();
        report(instance);
    }

    void restart(std::size_t instance)
    {
        std::destroy_at(&instances_[instance]);
        std::construct_at(&instances_[instance]);
        undelivered_[instance].clear();
        for (const auto& [name, record] : store_) {
            instances_[instance].add(record, now_);
        }
    }
};

} // namespace

RC_BOOST_PROP(deadly_requests_are_refused_and_sound_ones_are_not,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps))
{
    fleet tested;
    for (const auto& [choice, detail] : steps) {
        tested.step(choice, detail);
    }
    tested.deliver_all();
    tested.deliver_all();
    RC_ASSERT(tested.max_crashes_after_delivery() == 0U);
    RC_ASSERT(!tested.refuses({"shared", "request:new"}));
    RC_ASSERT(!tested.refuses({"shared", "other", "request:new"}));
    if (tested.crashes() >= max_crashes) {
        RC_ASSERT(tested.all_refuse({"shared", "deadly", "request:new"}));
    }
}
