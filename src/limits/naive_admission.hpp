#pragma once

#include "limits/admission_policy.hpp"

namespace cyclamen::limits {

/// Baseline for comparisons: starts every request immediately.
class naive_admission final : public admission_policy {
  public:
    void configure(model::configuration_ptr /*configuration*/) override {}

    [[nodiscard]] std::optional<core::failure> offer(const admission_request& request,
                                                     core::instant now) override
    {
        waiting_.push_back(request.id);
        deadline_ = now;
        return std::nullopt;
    }

    [[nodiscard]] admission_result release(core::instant /*now*/) override
    {
        admission_result result{std::move(waiting_), {}};
        waiting_.clear();
        return result;
    }

    void on_ended(core::generation_id id, bool /*complete*/, core::instant /*now*/) override
    {
        std::erase(waiting_, id);
    }

    [[nodiscard]] std::optional<core::instant> next_deadline() const override
    {
        return waiting_.empty() ? std::optional<core::instant>{} : deadline_;
    }

  private:
    std::vector<core::generation_id> waiting_;
    core::instant deadline_{};
};

} // namespace cyclamen::limits
