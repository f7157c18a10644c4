#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "core/time.hpp"

namespace cyclamen::standin {

/// List of instances of the stand-in platform. It lags behind the reports of the instances. Reads
/// no clock.
class instance_list {
  public:
    /// @param lag time until a report becomes visible in the list
    /// @param expiry time without a report after which an instance is removed from the list
    instance_list(core::duration lag, core::duration expiry) : lag_{lag}, expiry_{expiry} {}

    /// Records a report of an instance.
    /// @param name name of the instance
    /// @param state its entry in the list, such as its address and `live` or `leaving`
    /// @param now current instant
    void report(const std::string& name, std::string state, core::instant now)
    {
        reports_.push_back(instance_report{name, std::move(state), now});
    }

    /// @param now current instant
    /// @return the entries by name, as reported one lag ago
    [[nodiscard]] std::map<std::string, std::string> list(core::instant now)
    {
        while (!reports_.empty() && reports_.front().reported_at + lag_ <= now) {
            instance_report oldest = std::move(reports_.front());
            reports_.pop_front();
            visible_[oldest.name] = {std::move(oldest.state), oldest.reported_at};
        }
        std::erase_if(visible_,
                      [&](const auto& each) { return each.second.second + lag_ + expiry_ <= now; });
        std::map<std::string, std::string> states;
        for (const auto& [name, state] : visible_) {
            states.emplace(name, state.first);
        }
        return states;
    }

  private:
    struct instance_report {
        std::string name;
        std::string state;
        core::instant reported_at;
    };

    const core::duration lag_;
    const core::duration expiry_;
    std::deque<instance_report> reports_;
    std::map<std::string, std::pair<std::string, core::instant>> visible_;
};

} // namespace cyclamen::standin
