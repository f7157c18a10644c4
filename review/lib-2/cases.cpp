#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "harness.hpp"

/// @file
/// Runs one case of the second review: cases CASE RECORD TROUBLE. Exit status 1 if the rule was
/// broken, 0 if it held, 2 if the case couldn't run.

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class verdict { held = 0, broken = 1, could_not_run = 2 };

/// What the case is run with.
struct setting {
    const std::string folder;
    recorder& record;
    const bool trouble;
    /// Outlives the case, since threads of the stand-ins use it.
    std::unique_ptr<deployment>& fleet;

    /// @return a deployment that has started, null if it can't
    [[nodiscard]] deployment* start(const runner_settings& engine, const runner_settings& plain,
                                    int timeout_ms) const
    {
        fleet = std::make_unique<deployment>(folder, record, engine, plain, timeout_ms);
        return fleet->start() ? fleet.get() : nullptr;
    }
};

/// A request of a caller on a channel that it has used before.
struct call {
    std::string id;
    bool passed_on = false;
    bool answered = false;
    int status = 0;
    bool channel_ended = false;
    milliseconds took{0};
};

/// Sends one call on a kept channel and waits for its answer.
call send_call(connection& on, const std::string& path, const std::string& id, int deadline_ms,
               milliseconds patience, recorder& record)
{
    call made{id};
    on.set_read_limit(patience);
    record.add("caller sends " + id + " " + path);
    const auto begin = clock::now();
    on.send(encode_request("POST", path, id, deadline_ms, {}, "notice"));
    const auto answer = on.read_message();
    made.took = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
    made.answered = answer.has_value();
    made.status = made.answered ? answer->status() : 0;
    made.channel_ended = !made.answered && on.is_closed();
    record.add("caller of " + id +
               (made.answered ? " has the answer " + std::to_string(made.status)
                              : std::string{made.channel_ended ? " sees its channel end unanswered"
                                                               : " has no answer"}) +
               " after " + std::to_string(made.took.count()) + " ms");
    return made;
}

bool was_passed_on(const std::vector<std::unique_ptr<runner>>& runners, const std::string& id)
{
    return std::any_of(runners.begin(), runners.end(), [&](const auto& each) {
        const auto arrivals = each->arrivals();
        return std::any_of(arrivals.begin(), arrivals.end(),
                           [&](const arrival& seen) { return seen.id == id; });
    });
}

/// @return the runner whose address the request names as the holder of its copy, null if none
runner* standby_of(deployment& fleet, const std::string& id)
{
    for (const auto& each : fleet.engines()) {
        for (const arrival& seen : each->arrivals()) {
            if (seen.id != id) {
                continue;
            }
            const std::string address = seen.request.field("x-cyclamencourse-kv-backup");
            const auto found =
                std::find_if(fleet.engines().begin(), fleet.engines().end(),
                             [&](const auto& other) { return other->address() == address; });
            return found == fleet.engines().end() ? nullptr : found->get();
        }
    }
    return nullptr;
}

/// A stream whose id isn't UTF-8, whose standby leaves as planned; beside it other callers' calls.
verdict run_odd_id(const setting& with)
{
    recorder& record = with.record;
    runner_settings engine;
    engine.events = 200;
    runner_settings plain;
    plain.work_time = milliseconds{1200};
    deployment* const started = with.start(engine, plain, 2500);
    if (started == nullptr) {
        return verdict::could_not_run;
    }
    deployment& fleet = *started;
    relay_process& process = *fleet.processes().front();
    constexpr int callers = 8;
    std::vector<std::unique_ptr<connection>> channels;
    std::vector<call> first(callers);
    std::vector<call> second(callers);
    const auto call_all = [&](std::vector<call>& calls, const std::string& kind) {
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&, i] {
                calls[static_cast<std::size_t>(i)] =
                    send_call(*channels[static_cast<std::size_t>(i)], "/file/1",
                              kind + std::to_string(i), 2500, seconds{4}, record);
            });
        }
        return threads;
    };
    for (int i = 0; i < callers; ++i) {
        channels.push_back(connection::open(process.at().entry));
        if (channels.back() == nullptr) {
            return verdict::could_not_run;
        }
    }
    for (std::thread& each : call_all(first, "warm-")) {
        each.join();
    }
    const std::string stream_id = with.trouble ? "odd-\xff-id" : "even-id";
    const auto stream = connection::open(process.at().entry);
    stream->set_read_limit(seconds{3});
    stream->send(
        encode_request("POST", "/draft/1", stream_id, 25000, prompt_fields("e4402b7d"), "draft"));
    const auto head = stream->read_head();
    record.add("the stream " + stream_id + " has the status " +
               std::to_string(head.has_value() ? head->status() : 0));
    std::this_thread::sleep_for(milliseconds{500});
    runner* standby = standby_of(fleet, stream_id);
    if (!head.has_value() || head->status() != 200 || standby == nullptr) {
        // To refuse such a request is allowed.
        return with.trouble ? verdict::held : verdict::could_not_run;
    }
    auto threads = call_all(second, "call-");
    std::this_thread::sleep_for(milliseconds{400});
    standby->list("draining");
    for (std::thread& each : threads) {
        each.join();
    }
    int cut = 0;
    for (const call& each : second) {
        cut += was_passed_on(fleet.services(), each.id) && each.channel_ended ? 1 : 0;
    }
    const auto ended = process.ended();
    record.add("calls passed on from kept channels that ended unanswered: " + std::to_string(cut) +
               "; process " + process.name() +
               (ended.has_value() ? " ended by " + *ended : " runs"));
    return cut > 3 ? verdict::broken : verdict::held;
}

/// @return a chunked request whose head names many connection options and whose trailer section has
///         many fields; head and trailer section are each inside the limit of 16,384 bytes
std::string many_options(bool trouble)
{
    constexpr std::size_t section_bytes = 16000;
    std::string text = "POST /none/ HTTP/1.1\r\nHost: review.example\r\n"
                       "X-Cyclamencourse-Request-Id: plain-id\r\n"
                       "Transfer-Encoding: chunked\r\nConnection: ";
    while (trouble && text.size() < section_bytes) {
        text += "a,";
    }
    text += "keep-alive\r\n\r\n1\r\nx\r\n0\r\n";
    const std::size_t begin = text.size();
    do {
        text += "b:\r\n";
    } while (trouble && text.size() < begin + section_bytes);
    return text + "\r\n";
}

/// Clients that send requests with many connection options; beside them other callers' calls.
verdict run_many_options(const setting& with)
{
    recorder& record = with.record;
    constexpr int timeout_ms = 1000;
    deployment* const started = with.start(runner_settings{}, runner_settings{}, timeout_ms);
    if (started == nullptr) {
        return verdict::could_not_run;
    }
    deployment& fleet = *started;
    relay_process& process = *fleet.processes().front();
    constexpr int senders = 8;
    constexpr int callers = 12;
    std::atomic<bool> stopping{false};
    std::atomic<int> odd_answered{0};
    std::vector<std::thread> threads;
    const std::string odd = many_options(with.trouble);
    record.add("clients: " + std::to_string(senders) + ", request of " +
               std::to_string(odd.size()) + " bytes");
    const auto begin = clock::now() + seconds{3};
    const auto end = begin + seconds{12};
    for (int i = 0; i < senders; ++i) {
        threads.emplace_back([&] {
            std::this_thread::sleep_until(begin);
            auto channel = connection::open(process.at().entry);
            while (!stopping && channel != nullptr) {
                channel->set_read_limit(seconds{20});
                if (channel->send(odd) && channel->read_message().has_value()) {
                    ++odd_answered;
                }
                else {
                    channel = connection::open(process.at().entry);
                }
                std::this_thread::sleep_for(milliseconds{200});
            }
        });
    }
    std::mutex mutex;
    std::vector<call> calls;
    std::vector<std::thread> caller_threads;
    for (int i = 0; i < callers; ++i) {
        caller_threads.emplace_back([&, i] {
            auto channel = connection::open(process.at().entry);
            for (int number = 0; clock::now() < end; ++number) {
                if (channel == nullptr) {
                    std::this_thread::sleep_for(milliseconds{100});
                    channel = connection::open(process.at().entry);
                    continue;
                }
                const call made = send_call(
                    *channel, "/file/1", "call-" + std::to_string(i) + "-" + std::to_string(number),
                    timeout_ms, seconds{10}, record);
                if (!made.answered) {
                    channel = connection::open(process.at().entry);
                }
                {
                    const std::lock_guard guard{mutex};
                    calls.push_back(made);
                }
                std::this_thread::sleep_for(milliseconds{150});
            }
        });
    }
    int unready = 0;
    int asked = 0;
    while (clock::now() < end) {
        std::this_thread::sleep_for(seconds{1});
        ++asked;
        unready += process.is_ready() ? 0 : 1;
    }
    for (std::thread& each : caller_threads) {
        each.join();
    }
    stopping = true;
    for (std::thread& each : threads) {
        each.join();
    }
    int over = 0;
    int late = 0;
    int served = 0;
    for (const call& each : calls) {
        over += each.took > milliseconds{timeout_ms} ? 1 : 0;
        late += each.took > milliseconds{timeout_ms + 500} ? 1 : 0;
        served += each.status == 200 ? 1 : 0;
    }
    record.add("requests of theirs answered: " + std::to_string(odd_answered) +
               "; calls: " + std::to_string(calls.size()) + ", served: " + std::to_string(served) +
               ", longer than the route's timeout: " + std::to_string(over) +
               ", over 0.5 s longer: " + std::to_string(late) +
               "; readiness checks: " + std::to_string(asked) +
               ", not answered with 200 in 1 s: " + std::to_string(unready));
    return late >= 8 && 2 * late > over ? verdict::broken : verdict::held;
}

/// A request that crashes each runner that begins it comes again and again, with the same path,
/// caller and body and another query; beside it other callers' calls.
verdict run_deadly_query(const setting& with)
{
    recorder& record = with.record;
    constexpr milliseconds contact_time{3000};
    runner_settings plain;
    plain.work_time = milliseconds{60};
    plain.deadly_body = "crash-this";
    deployment* const started = with.start(runner_settings{}, plain, 1500);
    if (started == nullptr) {
        return verdict::could_not_run;
    }
    deployment& fleet = *started;
    const bool same_query = std::getenv("SAME_QUERY") != nullptr;
    const auto end = clock::now() + seconds{40};
    std::atomic<int> served{0};
    std::atomic<int> calls{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 6; ++i) {
        threads.emplace_back([&, i] {
            relay_process& process = *fleet.processes()[static_cast<std::size_t>(i % 3)];
            auto channel = connection::open(process.at().entry);
            for (int number = 0; clock::now() < end && channel != nullptr; ++number) {
                const call made = send_call(
                    *channel, "/file/1", "call-" + std::to_string(i) + "-" + std::to_string(number),
                    1500, seconds{3}, record);
                ++calls;
                served += made.status == 200 ? 1 : 0;
                if (!made.answered) {
                    channel = connection::open(process.at().entry);
                }
                std::this_thread::sleep_for(milliseconds{200});
            }
        });
    }
    for (int number = 0; clock::now() < end; ++number) {
        std::this_thread::sleep_for(milliseconds{700});
        const std::string id = "again-" + std::to_string(number);
        const std::string path = "/file/1?at=" + std::to_string(same_query ? 0 : number);
        const auto channel = connection::open(fleet.processes().front()->at().entry);
        if (channel == nullptr) {
            continue;
        }
        channel->set_read_limit(seconds{2});
        channel->send(
            encode_request("POST", path, id, 1500, {}, with.trouble ? "crash-this" : "sound"));
        const auto answer = channel->read_message();
        record.add("caller of " + id + " has the answer " +
                   std::to_string(answer.has_value() ? answer->status() : 0));
    }
    for (std::thread& each : threads) {
        each.join();
    }
    std::vector<clock::time_point> crashes;
    for (const auto& each : fleet.services()) {
        const auto own = each->crashes();
        crashes.insert(crashes.end(), own.begin(), own.end());
    }
    std::sort(crashes.begin(), crashes.end());
    constexpr std::size_t counted = 3;
    const auto late = crashes.size() < counted
                          ? 0
                          : std::count_if(crashes.begin(), crashes.end(), [&](const auto& at) {
                                return at > crashes[counted - 1] + contact_time;
                            });
    record.add("crashes: " + std::to_string(crashes.size()) + ", later than contact_ms after the " +
               "third: " + std::to_string(late) + "; calls of others: " + std::to_string(calls) +
               ", served: " + std::to_string(served));
    return late > 3 ? verdict::broken : verdict::held;
}

/// What has come of a stream.
struct stream_result {
    int status = 0;
    int events = 0;
    bool whole = false;
};

stream_result run_stream(const endpoint& entry, const std::string& id, const std::string& parts)
{
    stream_result result;
    const auto channel = connection::open(entry);
    if (channel == nullptr) {
        return result;
    }
    channel->set_read_limit(seconds{10});
    channel->send(encode_request("POST", "/draft/1", id, 25000,
                                 {{"X-Cyclamencourse-Model", "m"},
                                  {"X-Cyclamencourse-Token-Counts", "5200,80"},
                                  {"X-Cyclamencourse-Prompt-Prefix", parts}},
                                 "draft " + id));
    auto answer = channel->read_head();
    if (answer.has_value()) {
        result.status = answer->status();
        result.whole = channel->read_body(*answer);
        for (std::size_t at = answer->body.find("id: "); at != std::string::npos;
             at = answer->body.find("id: ", at + 1)) {
            ++result.events;
        }
    }
    return result;
}

/// A part of a prompt crashes each engine that begins to write an answer on it.
/// @param sends_head_first engines send the head of an answer before its first event
/// @param parts_before number of parts, beside the common one, before the deadly part
verdict run_deadly_part(const setting& with, bool sends_head_first, int parts_before)
{
    recorder& record = with.record;
    constexpr milliseconds contact_time{3000};
    runner_settings engine;
    engine.work_time = milliseconds{1040};
    engine.event_gap = milliseconds{30};
    engine.events = 40;
    engine.deadly_part = with.trouble ? "deadbeef" : "";
    engine.sends_head_first = sends_head_first;
    deployment* const started = with.start(engine, runner_settings{}, 1500);
    if (started == nullptr) {
        return verdict::could_not_run;
    }
    deployment& fleet = *started;
    const auto end = clock::now() + seconds{45};
    std::atomic<int> streams{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    const auto entry = [&](int number) {
        return fleet.processes()[static_cast<std::size_t>(number % 3)]->at().entry;
    };
    for (int i = 0; i < 9; ++i) {
        threads.emplace_back([&, i] {
            for (int number = 0; clock::now() < end; ++number) {
                const std::string id = "sound-" + std::to_string(i) + "-" + std::to_string(number);
                const auto result = run_stream(
                    entry(i), id, "5c1e07a2:200,a" + std::to_string(100 * i + number) + ":5000");
                ++streams;
                served += result.whole && result.events == 40 ? 1 : 0;
                record.add("caller of " + id + " has the status " + std::to_string(result.status) +
                           " and " + std::to_string(result.events) + " events, " +
                           (result.whole ? "whole" : "cut"));
                std::this_thread::sleep_for(milliseconds{300});
            }
        });
    }
    std::atomic<int> odd{0};
    threads.emplace_back([&] {
        std::this_thread::sleep_for(seconds{4});
        std::vector<std::thread> callers;
        while (clock::now() < end) {
            callers.emplace_back([&, number = odd++] {
                const std::string id = "deadly-" + std::to_string(number);
                std::string parts = "5c1e07a2:200,";
                for (int i = 0; i < parts_before; ++i) {
                    parts += "c" + std::to_string(100 * number + i) + ":40,";
                }
                parts += "deadbeef:400,b" + std::to_string(number) + ":4000";
                const auto result = run_stream(entry(number), id, parts);
                record.add("caller of " + id + " has the status " + std::to_string(result.status));
            });
            std::this_thread::sleep_for(milliseconds{1000});
        }
        for (std::thread& each : callers) {
            each.join();
        }
    });
    for (std::thread& each : threads) {
        each.join();
    }
    std::vector<clock::time_point> crashes;
    std::vector<arrival> arrivals;
    for (const auto& each : fleet.engines()) {
        const auto own = each->crashes();
        crashes.insert(crashes.end(), own.begin(), own.end());
        for (const arrival& seen : each->arrivals()) {
            arrivals.push_back(seen);
        }
    }
    std::sort(crashes.begin(), crashes.end());
    constexpr std::size_t counted = 5;
    std::set<std::string> late;
    for (const arrival& seen : arrivals) {
        const bool is_late =
            crashes.size() >= counted && seen.at > crashes[counted - 1] + contact_time;
        if (is_late && seen.id.starts_with("deadly-")) {
            late.insert(seen.id);
        }
    }
    record.add("crashes: " + std::to_string(crashes.size()) + "; requests with the part: " +
               std::to_string(odd) + ", that reached runners later than contact_ms after the " +
               "fifth crash: " + std::to_string(late.size()) + "; sound streams: " +
               std::to_string(streams) + ", whole: " + std::to_string(served));
    return late.size() > 3 ? verdict::broken : verdict::held;
}

/// A rollout whose new version turns bad late: each fourth of its answers is a failure.
verdict run_late_bad_version(const setting& with)
{
    recorder& record = with.record;
    constexpr seconds time_limit{15};
    constexpr double expose_share = 0.1;
    constexpr double expose_slack = 50;
    constexpr milliseconds rollback_time{5000};
    constexpr std::size_t bad_answers = 50;
    runner_settings plain;
    plain.work_time = milliseconds{60};
    deployment* const started = with.start(runner_settings{}, plain, 1500);
    if (started == nullptr) {
        return verdict::could_not_run;
    }
    deployment& fleet = *started;
    const auto ordered = clock::now() + seconds{3};
    const auto deadline = ordered + time_limit;
    const auto end = deadline + seconds{14};
    std::atomic<int> calls{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 15; ++i) {
        threads.emplace_back([&, i] {
            relay_process& process = *fleet.processes()[static_cast<std::size_t>(i % 3)];
            auto channel = connection::open(process.at().entry);
            std::this_thread::sleep_for(milliseconds{40 * i});
            for (int number = 0; clock::now() < end && channel != nullptr; ++number) {
                const auto next = clock::now() + milliseconds{600};
                const call made = send_call(
                    *channel, "/file/1", "call-" + std::to_string(i) + "-" + std::to_string(number),
                    1500, seconds{3}, record);
                calls += clock::now() > ordered ? 1 : 0;
                served += clock::now() > ordered && made.status == 200 ? 1 : 0;
                if (!made.answered) {
                    channel = connection::open(process.at().entry);
                }
                std::this_thread::sleep_until(next);
            }
        });
    }
    std::this_thread::sleep_until(ordered);
    runner_settings fresh = plain;
    fresh.version = "v2";
    if (with.trouble) {
        fresh.bad_from = ordered + milliseconds{11500};
    }
    fleet.add_services(fresh);
    fleet.rows().put("op", "rollout/desk", R"({"backend":"desk","to":"v2","duration_s":15})");
    record.add("the operator orders the rollout");
    // {"state":"completed","to":"v2"}
    constexpr const char* completed = "eyJzdGF0ZSI6ImNvbXBsZXRlZCIsInRvIjoidjIifQ==";
    while (clock::now() < end && fleet.rows().value("status", "rollout/desk") != completed) {
        std::this_thread::sleep_for(milliseconds{20});
    }
    for (const auto& each : fleet.services()) {
        if (clock::now() < end && !each->name().starts_with("desk-v2")) {
            each->stop();
        }
    }
    for (std::thread& each : threads) {
        each.join();
    }
    std::this_thread::sleep_for(seconds{1});
    int reached = 0;
    int exposed = 0;
    std::vector<clock::time_point> bad;
    for (const auto& each : fleet.services()) {
        const auto own = each->failures();
        bad.insert(bad.end(), own.begin(), own.end());
    }
    std::sort(bad.begin(), bad.end());
    const auto limit =
        bad.size() < bad_answers ? clock::time_point::max() : bad[bad_answers - 1] + rollback_time;
    int late = 0;
    for (const auto& each : fleet.services()) {
        for (const arrival& seen : each->arrivals()) {
            const bool is_counted = seen.at > ordered && seen.at <= deadline;
            const bool is_new = seen.runner.starts_with("desk-v2");
            reached += is_counted ? 1 : 0;
            exposed += is_counted && is_new ? 1 : 0;
            late += is_new && seen.at > limit ? 1 : 0;
        }
    }
    const double allowed = expose_share * reached + expose_slack;
    record.add("calls: " + std::to_string(calls) + ", served: " + std::to_string(served) +
               "; reached the service until the deadline: " + std::to_string(reached) +
               ", the new version: " + std::to_string(exposed) + ", allowed if it is bad: " +
               std::to_string(allowed) + "; bad answers: " + std::to_string(bad.size()) +
               ", requests later than rollback_ms after the 50th: " + std::to_string(late) +
               "; status row (base64): " + fleet.rows().value("status", "rollout/desk"));
    return with.trouble && (exposed > allowed || late > 0) ? verdict::broken : verdict::held;
}

verdict run(const std::string& name, const setting& with)
{
    if (name == "late-bad-version") {
        return run_late_bad_version(with);
    }
    if (name == "deadly-part-early-head") {
        return run_deadly_part(with, true, 0);
    }
    if (name == "deadly-part-behind-others") {
        return run_deadly_part(with, false, 18);
    }
    if (name == "deadly-part") {
        return run_deadly_part(with, false, 0);
    }
    if (name == "deadly-query") {
        return run_deadly_query(with);
    }
    if (name == "odd-id") {
        return run_odd_id(with);
    }
    if (name == "many-options") {
        return run_many_options(with);
    }
    return verdict::could_not_run;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: cases CASE RECORD TROUBLE\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    std::string folder = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        return 2;
    }
    review::recorder record{argv[2]};
    const bool trouble = std::string{argv[3]} != "0";
    std::unique_ptr<review::deployment> fleet;
    const auto result = review::run(argv[1], review::setting{folder, record, trouble, fleet});
    if (fleet != nullptr) {
        fleet->stop();
    }
    record.add("result: " + std::to_string(static_cast<int>(result)));
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    else {
        std::cerr << folder << '\n';
    }
    // Threads of the stand-ins still wait for bytes.
    std::_Exit(static_cast<int>(result));
}
