// Measures the cost of membership per node at several fleet sizes, in virtual time: messages and
// bytes sent, processor time, and the time until all nodes know that an instance is leaving.
//
//     membership_bench [SIZE...]

#include <algorithm>
#include <ctime>
#include <iostream>
#include <vector>

#include <fmt/format.h>

#include "core/text.hpp"
#include "membership/fleet.hpp"
#include "peer/peer_codec.hpp"

namespace {

using namespace cyclamen;
using std::chrono::seconds;

constexpr seconds join_limit{60};
constexpr seconds settling_time{30};
constexpr seconds measured_time{60};
constexpr seconds spread_limit{10};
constexpr int leaving_count = 5;
/// ZeroMQ framing and TCP/IP headers.
constexpr std::size_t message_overhead_bytes = 56;

/// @return processor time used by this process so far, in seconds
double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Traffic sent by all nodes during the measurement.
struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Lets several instances announce that they are leaving, one after the other.
/// @return the longest time until all nodes knew of one of them, in milliseconds
double measure_spread(test::fleet& fleet)
{
    core::duration longest{};
    for (std::size_t i = 0; i < leaving_count; ++i) {
        auto& leaving_node = *fleet.nodes[i + 1 < fleet.nodes.size() ? i : 0];
        leaving_node.state.announce(api::member_state::draining, fleet.now);
        const auto spread = fleet.run_until(
            spread_limit, [&] { return fleet.all_see(leaving_node, api::member_state::draining); });
        longest = std::max(longest, spread.value_or(spread_limit));
    }
    return core::to_milliseconds(longest);
}

/// Measures a fleet of one size and prints the results as one JSON line.
void measure(std::size_t size)
{
    test::fleet fleet{size};
    fleet.add_many(size);
    const auto joined = fleet.run_until(join_limit, [&] { return fleet.all_see_all_serving(); });
    fleet.run(settling_time);
    traffic sent;
    fleet.on_send = [&](const test::fleet::node& from, const api::peer_destination& to,
                        const api::peer_message& message) {
        ++sent.messages;
        sent.bytes += message_overhead_bytes +
                      peer::encode({from.state.self().identity, to.identity, message}).size();
    };
    const double before = processor_seconds();
    fleet.run(measured_time);
    const double processor_time_used = processor_seconds() - before;
    fleet.on_send = nullptr;
    const double node_seconds =
        static_cast<double>(size) * static_cast<double>(measured_time.count());
    std::cout << fmt::format(
        R"({{"instances":{},"joined_ms":{:.0f},"messages_per_s":{:.2f},"bytes_per_s":{:.0f},)"
        R"("core_percent":{:.3f},"spread_ms":{:.0f}}})"
        "\n",
        size, core::to_milliseconds(joined.value_or(join_limit)),
        static_cast<double>(sent.messages) / node_seconds,
        static_cast<double>(sent.bytes) / node_seconds, 100 * processor_time_used / node_seconds,
        measure_spread(fleet));
}

} // namespace

int main(int count, char** arguments)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < count; ++i) {
        const auto size = core::parse_number<std::size_t>(arguments[i]);
        if (!size.has_value() || *size < 2 || *size > 1000) {
            std::cerr << "error: each size must be a number from 2 to 1000\n";
            return 2;
        }
        sizes.push_back(*size);
    }
    if (sizes.empty()) {
        sizes = {5, 10, 20, 40, 80, 160, 380};
    }
    for (const std::size_t size : sizes) {
        measure(size);
    }
    return 0;
}
