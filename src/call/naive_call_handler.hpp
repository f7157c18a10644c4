#pragma once

#include <map>
#include <set>

#include "call/call_manager.hpp"

namespace cyclamen::call {

/// Baseline for comparisons: retries a call after any failure and uses no claims. Opens no socket
/// and reads no clock.
class naive_call_handler final : public call_handler {
  public:
    naive_call_handler(call_settings settings, routing::target_chooser& chooser,
                       call_output& output);

    void configure(model::configuration_ptr configuration) override;
    void on_request(const api::call_request& request, core::instant now) override;
    void on_caller_gone(core::caller_id caller, core::instant now) override;
    void on_service_event(const api::service_event& event, core::instant now) override;
    void on_timer(core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;

  private:
    struct open_attempt {
        api::call_request request;
        core::attempt_number number;
        core::target_name target;
        core::instant deadline;
    };

    const call_settings settings_;
    routing::target_chooser& chooser_;
    call_output& output_;
    model::configuration_ptr configuration_;
    std::map<api::call_id, open_attempt> attempts_;
    api::call_id last_id_;

    void offer(api::call_id id, const api::call_request& request, core::attempt_number number,
               core::instant now);
    void retry(api::call_id id, core::instant now);
};

} // namespace cyclamen::call
