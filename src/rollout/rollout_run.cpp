#include "rollout/rollout_run.hpp"

#include <algorithm>
#include <cassert>

#include "core/text.hpp"

namespace cyclamen::rollout {

rollout_run::rollout_run(model::rollout declared, std::shared_ptr<const chart::chart> definition,
                         rollout_run_host& host, core::wall_time now)
    : declared_{std::move(declared)}, host_{host}, machine_{std::move(definition)}, now_{now},
      since_{now}
{
    machine_.start(*this);
}

void rollout_run::review(const assessment& current, double ready_share, bool may_grow,
                         core::wall_time now)
{
    now_ = now;
    ready_share_ = ready_share;
    if (is_active()) {
        exposure_.set(limit_growth(current.exposure, may_grow));
        reason_ =
            may_grow ? current.reason : core::concat(current.reason, ", too few responsive peers");
    }
    if (watch_until_.has_value() && now >= *watch_until_) {
        raise(rollout_event::watch_over);
        return;
    }
    raise(rollout_event::reviewed);
}

exposure rollout_run::limit_growth(const exposure& wanted, bool may_grow) const
{
    const double before = exposure_.get().share;
    if (may_grow || wanted.share <= before) {
        return wanted;
    }
    return exposure{before, exposure_.get().concentrated};
}

void rollout_run::take_back(const api::veto& veto, core::wall_time now)
{
    if (!is_active()) {
        return;
    }
    now_ = now;
    exposure_.set(exposure{0, false});
    reason_ = core::concat(veto.evidence, ", raised by ", veto.raised_by.str());
    raise(rollout_event::vetoed);
}

void rollout_run::raise(rollout_event event)
{
    const chart::state_index before = machine_.current();
    machine_.raise(static_cast<chart::symbol>(event), *this);
    if (machine_.current() != before) {
        since_ = now_;
        host_.on_state(report());
    }
}

rollout_report rollout_run::report() const
{
    return {declared_.key(), machine_.state_name(), exposure_.get().share, reason_, since_};
}

bool rollout_run::holds(chart::symbol guard) const
{
    switch (static_cast<rollout_guard>(guard)) {
    case rollout_guard::target_ready:
        return ready_share_ > 0;
    case rollout_guard::moving:
        return exposure_.get().share > declared_.exposure_limit();
    case rollout_guard::moved:
        return exposure_.get().share >= 1;
    case rollout_guard::overdue:
        return now_ > declared_.deadline;
    case rollout_guard::drained:
        break;
    }
    return open_requests_ <= 0;
}

void rollout_run::perform(chart::symbol action)
{
    switch (static_cast<rollout_action>(action)) {
    case rollout_action::order_loads:
        host_.order_loads(declared_);
        break;
    case rollout_action::note_veto:
    case rollout_action::note_taken_back:
        assert(exposure_.get().share == 0);
        break;
    case rollout_action::note_late:
        reason_ = core::concat("deadline passed: ", reason_);
        break;
    case rollout_action::note_done:
        reason_ = core::concat("watch period over: ", reason_);
        break;
    }
}

void rollout_run::start_timer(chart::state_timeout /*timeout*/)
{
    watch_until_ = now_ + std::chrono::ceil<std::chrono::milliseconds>(declared_.watch);
}

void rollout_run::stop_timer(chart::state_timeout /*timeout*/)
{
    watch_until_.reset();
}

} // namespace cyclamen::rollout
