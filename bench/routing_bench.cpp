// Measures the CPU and memory cost of routing, admission and metrics, at several sizes each.

#include <malloc.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <memory>

#include "chart/library.hpp"
#include "core/hash.hpp"
#include "core/text.hpp"
#include "instance/account_metrics.hpp"
#include "limits/share_admission.hpp"
#include "model/prefix_blocks.hpp"
#include "routing/informed_chooser.hpp"

namespace {

using namespace cyclamen;

constexpr std::size_t prompt_bytes = 4096;
const core::service_name service{"notices"};
const core::version_name version{"v1"};

std::size_t bytes_in_use()
{
    const auto use = ::mallinfo2();
    return use.uordblks + use.hblkhd;
}

/// @return mean duration of one call, in nanoseconds
double time_per_call_ns(std::size_t calls, const std::function<void(std::size_t)>& call)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < calls; ++i) {
        call(i);
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / static_cast<double>(calls);
}

void print(std::string_view label, std::size_t size, double ns_per_call, double bytes_per_item)
{
    std::cout << core::concat(label, " ", size, ": ns ", ns_per_call, ", bytes each ",
                              bytes_per_item, "\n");
}

model::configuration_ptr declare(std::size_t targets, std::size_t accounts)
{
    std::vector<model::target> declared;
    declared.reserve(targets);
    for (std::size_t i = 0; i < targets; ++i) {
        declared.push_back({core::target_name{core::concat("target-", i)},
                            service,
                            version,
                            {"127.0.0.1", static_cast<std::uint16_t>(1 + i)},
                            core::failure_domain_name{core::concat("domain-", i % 5)},
                            {},
                            true});
    }
    std::vector<model::client_account> clients;
    clients.reserve(accounts);
    for (std::size_t i = 0; i < accounts; ++i) {
        clients.push_back({core::account_name{core::concat("account-", i)},
                           core::concat(i),
                           {},
                           1,
                           static_cast<std::uint32_t>(i % 2)});
    }
    return std::make_shared<const model::configuration>(
        model::configuration{core::revision{1}, {}, std::move(declared), std::move(clients)});
}

void measure_choice(std::size_t targets)
{
    const auto configuration = declare(targets, 0);
    const auto health =
        *chart::library::embedded().load("target_health", routing::target_health_vocabulary());
    const std::size_t before = bytes_in_use();
    routing::informed_chooser chooser{
        routing::chooser_settings{core::failure_domain_name{"domain-0"}}, health,
        std::make_unique<routing::seeded_random>(1)};
    chooser.configure(configuration);
    const double bytes_per_item =
        static_cast<double>(bytes_in_use() - before) / static_cast<double>(targets);
    const core::instant now{std::chrono::seconds{1}};
    const double report = time_per_call_ns(100'000, [&](std::size_t i) {
        chooser.on_load(configuration->targets[i % targets].name, {3, 0, 64, {}}, now);
    });
    const double choice = time_per_call_ns(100'000, [&](std::size_t i) {
        std::string prompt(prompt_bytes, 'p');
        prompt.replace(0, 8, core::concat(10'000'000 + i));
        const auto chosen = chooser.choose({service, version, std::move(prompt), {}, false}, now);
        chooser.on_opened(chosen->name, now);
        chooser.on_finished(chosen->name, now);
    });
    print("choice among targets", targets, choice, bytes_per_item);
    print("load report of targets", targets, report, 0.0);
}

void measure_prefixes(std::size_t blocks)
{
    const std::size_t before = bytes_in_use();
    routing::prefix_index index{blocks};
    for (std::uint64_t i = 0; i < blocks; ++i) {
        const std::vector<std::uint64_t> block{core::hash_of(core::concat(i))};
        index.on_held(routing::target_number{i % 50}, block, {});
    }
    print("prefix blocks", blocks, 0.0,
          static_cast<double>(bytes_in_use() - before) / static_cast<double>(blocks));
}

/// @param accounts number of active accounts, each with one open and one queued request
void measure_admission(std::size_t accounts)
{
    const auto configuration = declare(0, accounts);
    const std::size_t before = bytes_in_use();
    limits::share_admission admission{limits::admission_settings{}};
    admission.configure(configuration);
    admission.on_serving_instances(1);
    admission.on_capacity(service, static_cast<double>(accounts));
    const core::instant start{std::chrono::seconds{1}};
    const core::instant deadline = start + std::chrono::hours{1};
    core::generation_id last;
    const auto offer = [&](std::size_t i, core::instant now) {
        last = last.next();
        static_cast<void>(admission.offer(
            {last, configuration->accounts[i % accounts].name, service, 100, deadline}, now));
    };
    for (std::size_t i = 0; i < 2 * accounts; ++i) {
        offer(i, start);
    }
    static_cast<void>(admission.release(start + std::chrono::seconds{1}));
    const double bytes_per_item =
        static_cast<double>(bytes_in_use() - before) / static_cast<double>(accounts);
    constexpr std::size_t calls = 2000;
    // One offer per millisecond, so that shares are recomputed as often as under load.
    const double under_load = time_per_call_ns(calls, [&](std::size_t i) {
        const core::instant now = start + std::chrono::milliseconds{2000 + i};
        offer(i, now);
        static_cast<void>(admission.release(now));
        admission.on_ended(last, false, now);
    });
    print("offer under full load, accounts", accounts, under_load, bytes_per_item);
}

/// @param open number of open requests, spread over ten accounts
void measure_open(std::size_t open)
{
    const auto configuration = declare(0, 10);
    const std::size_t before = bytes_in_use();
    limits::share_admission admission{limits::admission_settings{}};
    admission.configure(configuration);
    const core::instant now{std::chrono::seconds{1}};
    const core::instant deadline = now + std::chrono::hours{1};
    const double ns_per_offer = time_per_call_ns(open, [&](std::size_t i) {
        static_cast<void>(
            admission.offer({core::generation_id{i + 1}, configuration->accounts[i % 10].name,
                             service, 100, deadline},
                            now));
        static_cast<void>(admission.release(now));
    });
    print("offer and start, open requests", open, ns_per_offer,
          static_cast<double>(bytes_in_use() - before) / static_cast<double>(open));
}

void measure_metrics(std::size_t accounts)
{
    const auto configuration = declare(0, accounts);
    const std::size_t before = bytes_in_use();
    metrics::registry registry;
    instance::account_metrics account_series{registry};
    account_series.configure(configuration);
    std::vector<generation::attempt_subject> subjects;
    subjects.reserve(accounts);
    for (const model::client_account& each : configuration->accounts) {
        subjects.push_back(
            {service, version, core::target_name{"t"}, "notices/stream", each.name, {}, false});
    }
    for (const generation::attempt_subject& each : subjects) {
        account_series.on_first_token(each, std::chrono::milliseconds{10}, {});
    }
    const double bytes_per_item =
        static_cast<double>(bytes_in_use() - before) / static_cast<double>(accounts);
    const double sample = time_per_call_ns(1'000'000, [&](std::size_t i) {
        account_series.on_gap(subjects[i % accounts], std::chrono::microseconds{20'000 + i % 5000},
                              {});
    });
    print("gap sample, accounts", accounts, sample, bytes_per_item);
    const double text =
        time_per_call_ns(3, [&](std::size_t /*i*/) { static_cast<void>(registry.text()); });
    print("text of all metrics, accounts", accounts, text, 0.0);
}

} // namespace

int main()
{
    for (const std::size_t targets : {50U, 500U, 1500U, 5200U}) {
        measure_choice(targets);
    }
    for (const std::size_t blocks : {4096U, 8192U, 16'384U, 32'768U}) {
        measure_prefixes(blocks);
    }
    for (const std::size_t accounts : {10U, 100U, 1000U, 3700U}) {
        measure_admission(accounts);
    }
    for (const std::size_t open : {250U, 500U, 1000U, 2000U}) {
        measure_open(open);
    }
    for (const std::size_t accounts : {10U, 100U, 1000U, 3700U}) {
        measure_metrics(accounts);
    }
    return 0;
}
