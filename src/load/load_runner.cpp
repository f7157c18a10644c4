#include "load/load_runner.hpp"

#include <algorithm>

#include "core/text.hpp"
#include "standin/token_chain.hpp"

namespace cyclamen::load {

namespace {

/// How many times a request is sent, the first time included.
constexpr int max_tries = 6;
/// How long unfinished requests are waited for after the end of the load.
constexpr core::duration drain_timeout = std::chrono::seconds{60};
constexpr core::duration max_poll_wait = std::chrono::milliseconds{50};
constexpr core::duration progress_interval = std::chrono::seconds{1};

} // namespace

load_runner::load_runner(load_settings settings, std::vector<core::socket_address> instances,
                         std::string version)
    : settings_{std::move(settings)}, instances_{std::move(instances)}, version_{std::move(
                                                                            version)},
      results_{std::make_shared<task::channel<generation_result>>()}, callers_{results_}
{
}

absl::StatusOr<load_report> load_runner::run(std::vector<timed_action> actions,
                                             const std::function<void(std::uint64_t)>& progress)
{
    const absl::Status started = callers_.start();
    if (!started.ok()) {
        return started;
    }
    const std::vector<planned_request> plan = plan_arrivals(settings_);
    const core::instant start = clock_.now();
    const core::instant end = start + settings_.length + drain_timeout;
    core::instant next_progress = start + progress_interval;
    std::size_t next = 0;
    std::size_t next_action = 0;
    while ((next < plan.size() || !open_.empty() || next_action < actions.size()) &&
           clock_.now() < end) {
        send_due_requests(plan, next, start);
        while (next_action < actions.size() && start + actions[next_action].at <= clock_.now()) {
            actions[next_action++].run();
        }
        // Wait for a result, at most until the next request is to be sent.
        core::duration wait = max_poll_wait;
        if (next < plan.size()) {
            wait = std::clamp(start + plan[next].at - clock_.now(), core::duration::zero(), wait);
        }
        if (const auto result = results_->take(wait)) {
            handle(*result);
        }
        if (clock_.now() >= next_progress) {
            progress(report_.size());
            next_progress += progress_interval;
        }
    }
    for (const auto& [number, request] : open_) {
        report_.add(
            finished_request{outcome::failed, settings_.accounts[request.planned.account].key,
                             request.planned.streaming, 0, request.first_token, request.longest_gap,
                             request.mean_gap, drain_timeout, request.tries > 1, request.attempts});
    }
    callers_.stop();
    return report_;
}

void load_runner::send_due_requests(const std::vector<planned_request>& plan, std::size_t& next,
                                    core::instant start)
{
    while (next < plan.size() && start + plan[next].at <= clock_.now()) {
        const request_number number{next};
        const auto added =
            open_.emplace(number, open_request{plan[next], next % instances_.size(), {}});
        added.first->second.sent_at = clock_.now();
        send(number, added.first->second);
        ++next;
    }
}

void load_runner::send(request_number number, open_request& request)
{
    ++request.tries;
    const absl::Status posted = callers_.inbox()->post(send_generation{
        number, instances_[request.instance], settings_.accounts[request.planned.account].key,
        request.planned.key, settings_.model, request.planned.prompt, request.planned.max_tokens,
        request.planned.streaming, request.last_event_id});
    if (!posted.ok()) {
        report_.add(finished_request{outcome::failed,
                                     settings_.accounts[request.planned.account].key,
                                     request.planned.streaming,
                                     0,
                                     {},
                                     {},
                                     {},
                                     {},
                                     false,
                                     0});
        open_.erase(number);
    }
}

void load_runner::handle(const generation_result& result)
{
    const auto found = open_.find(result.number);
    if (found == open_.end()) {
        return;
    }
    open_request& request = found->second;
    record_times(request, result);
    request.attempts = std::max(request.attempts, result.attempts);
    request.text += result.text;
    if (retry_at_next_instance(result.number, request, result)) {
        return;
    }
    report_.add(
        finished_request{classify(request, result), settings_.accounts[request.planned.account].key,
                         request.planned.streaming, standin::split_tokens(request.text).size(),
                         request.first_token, request.longest_gap, request.mean_gap,
                         clock_.now() - request.sent_at, request.tries > 1, request.attempts});
    open_.erase(found);
}

void load_runner::record_times(open_request& request, const generation_result& result)
{
    if (result.text.empty()) {
        return;
    }
    if (request.text.empty()) {
        request.first_token = result.first_chunk_at - request.sent_at;
    }
    else {
        request.longest_gap =
            std::max(request.longest_gap, result.first_chunk_at - request.last_chunk_at);
    }
    request.longest_gap = std::max(request.longest_gap, result.longest_gap);
    request.mean_gap = std::max(request.mean_gap, result.mean_gap);
    request.last_chunk_at = result.last_chunk_at;
    request.last_event_id = result.last_event_id;
}

bool load_runner::retry_at_next_instance(request_number number, open_request& request,
                                         const generation_result& result)
{
    // The instance may have run the request. Only a request key makes it safe to send it again.
    const bool lost = !result.complete && (result.status == 0 || result.status == 200);
    if (!lost || request.planned.key.empty() || request.tries >= max_tries) {
        return false;
    }
    request.instance = (request.instance + 1) % instances_.size();
    if (!request.planned.streaming) {
        request.text.clear();
    }
    send(number, request);
    return true;
}

outcome load_runner::classify(const open_request& request, const generation_result& result) const
{
    if (result.complete) {
        const auto check = standin::check_answer(request.planned.prompt, version_, request.text);
        return check.is_complete(request.planned.max_tokens) ? outcome::whole : outcome::wrong;
    }
    return request.text.empty() && result.status >= 400 ? outcome::refused : outcome::failed;
}

} // namespace cyclamen::load
