#include "cli/command_line.hpp"

#include <charconv>
#include <functional>
#include <iostream>
#include <map>
#include <optional>

#include <docopt/docopt.h>

#include "cli/bench_commands.hpp"
#include "cli/chart_commands.hpp"
#include "cli/demo.hpp"
#include "cli/explain_command.hpp"
#include "cli/operator_commands.hpp"
#include "cli/relay_command.hpp"
#include "cli/serve_commands.hpp"
#include "cli/soak_command.hpp"
#include "task/signals.hpp"

namespace cyclamen::cli {

namespace {

constexpr const char* version_text = "cyclamencourse 0.1.0";

constexpr const char* usage =
    R"(cyclamencourse: a serving system for long generations on engines that fail.

Usage:
  cyclamencourse route --config FILE [--charts DIR]
  cyclamencourse relay [--config FILE] [--charts DIR]
  cyclamencourse check [--relay] FILE
  cyclamencourse explain ID FILES...
  cyclamencourse stand-in engine --config FILE
  cyclamencourse stand-in platform --config FILE
  cyclamencourse stand-in service --config FILE
  cyclamencourse charts check DIR
  cyclamencourse charts dot NAME [--charts DIR]
  cyclamencourse demo [--keep]
  cyclamencourse load --config FILE
  cyclamencourse experiment FILE
  cyclamencourse soak [--seed N] [--seeds COUNT] [--seconds S] [--crashes | --silences] [--keep]
  cyclamencourse apply FILES... --at ADDR --token-file FILE [--expect REV] [--dry-run]
  cyclamencourse get --at ADDR --token-file FILE
  cyclamencourse diff FILES... --at ADDR --token-file FILE
  cyclamencourse status [--wait] --at ADDR --token-file FILE
  cyclamencourse history --at ADDR --token-file FILE
  cyclamencourse rollback REV --at ADDR --token-file FILE
  cyclamencourse version
  cyclamencourse --help

Commands:
  route      Run one entry instance until SIGTERM.
  relay      Run one instance on the users' platform until SIGTERM.
  check      Check a settings file of an instance and list every error.
  explain    Print the log lines of all machines about one request, in the order of time.
  stand-in   Run a stand-in for an engine, a service or the platform, for testing.
  charts     Check the chart files of a folder, or print a chart as a Graphviz graph.
  demo       Run engines, instances and callers in this process, and kill an engine.
  load       Send a load to instances on loopback and verify every token.
  experiment Run an experiment with the standard and with the naive policy.
  soak       Run instances as processes, inject faults by seed and check every guarantee.
  apply      Merge the declarations of files and make them the accepted configuration.
  get        Print the configuration in force.
  diff       Print the difference of files to the configuration in force, as a JSON patch.
  status     Print the revision in force at each instance.
  history    Print the accepted revisions, newest first.
  rollback   Apply the declarations of an earlier revision as a new revision.
  version    Print the version.

Options:
  --config FILE  Settings file, in JSON; relay uses the platform's file by default.
  --relay        Check the file as settings of the command relay.
  --charts DIR   Folder of chart files to use instead of the embedded charts.
  --at ADDR      Address of any instance, as ip:port.
  --token-file FILE  File that contains the operator's token.
  --expect REV   Apply only if REV is the newest revision.
  --dry-run      Check the declarations without applying them.
  --wait         Wait until the newest revision is in force everywhere, at most 60 s.
  --keep         Keep the demo running until SIGTERM; keep the logs of every soak.
  --seed N       First seed of a soak [default: 1].
  --seeds COUNT  Number of seeds [default: 1].
  --crashes      Some requests of a soak crash the runners that run them.
  --silences     Runners and connections fall silent, and there are no other faults.
  --seconds S    Duration of the traffic of each soak [default: 20].

Exit status: 0 success, 1 failure, 2 invalid command line or file.
)";

using argument_map = std::map<std::string, docopt::value>;

/// @return the value of an argument, empty if it is absent
std::string string_argument(const argument_map& arguments, const char* name)
{
    const docopt::value& value = arguments.at(name);
    return value.isString() ? value.asString() : std::string{};
}

/// Runs the operator command, if the command line has one.
/// @return the exit status, empty if it is not an operator command
std::optional<int> dispatch_operator(const argument_map& arguments)
{
    const auto is_set = [&](const char* name) { return arguments.at(name).asBool(); };
    const operator_endpoint endpoint{string_argument(arguments, "--at"),
                                     string_argument(arguments, "--token-file")};
    if (is_set("apply")) {
        return apply(arguments.at("FILES").asStringList(), endpoint,
                     string_argument(arguments, "--expect"), is_set("--dry-run"));
    }
    if (is_set("get")) {
        return get(endpoint);
    }
    if (is_set("diff")) {
        return diff(arguments.at("FILES").asStringList(), endpoint);
    }
    if (is_set("status")) {
        return status(endpoint, is_set("--wait"));
    }
    if (is_set("history")) {
        return history(endpoint);
    }
    if (is_set("rollback")) {
        return rollback(string_argument(arguments, "REV"), endpoint);
    }
    return std::nullopt;
}

int run_soaks(const argument_map& arguments)
{
    const auto number = [&](const char* name) -> std::uint64_t {
        const std::string text = string_argument(arguments, name);
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    };
    const std::uint64_t count = number("--seeds");
    const std::uint64_t seconds = number("--seconds");
    if (count == 0 || seconds == 0) {
        std::cerr << "error: --seeds and --seconds must be positive numbers\n";
        return exit_usage;
    }
    const soak_variant variant = arguments.at("--crashes").asBool()    ? soak_variant::crashes
                                 : arguments.at("--silences").asBool() ? soak_variant::silences
                                                                       : soak_variant::mixed;
    return soak("/proc/self/exe", number("--seed"), count, seconds, variant,
                arguments.at("--keep").asBool());
}

int dispatch(const argument_map& arguments)
{
    const auto is_set = [&](const char* name) { return arguments.at(name).asBool(); };
    const std::string charts = string_argument(arguments, "--charts");
    if (is_set("route")) {
        return route(string_argument(arguments, "--config"), charts);
    }
    if (is_set("relay")) {
        return relay(string_argument(arguments, "--config"), charts);
    }
    if (is_set("platform")) {
        return stand_in_platform(string_argument(arguments, "--config"));
    }
    if (is_set("service")) {
        return stand_in_service(string_argument(arguments, "--config"));
    }
    if (is_set("engine")) {
        return stand_in_engine(string_argument(arguments, "--config"));
    }
    if (is_set("charts")) {
        return is_set("check") ? check_charts(string_argument(arguments, "DIR"))
                               : print_chart(string_argument(arguments, "NAME"), charts);
    }
    if (is_set("check")) {
        return is_set("--relay") ? check_relay_settings(string_argument(arguments, "FILE"))
                                 : check_settings(string_argument(arguments, "FILE"));
    }
    if (is_set("explain")) {
        return explain(string_argument(arguments, "ID"), arguments.at("FILES").asStringList());
    }
    if (is_set("load")) {
        return send_load(string_argument(arguments, "--config"));
    }
    if (is_set("experiment")) {
        return run_experiment(string_argument(arguments, "FILE"));
    }
    if (is_set("soak")) {
        return run_soaks(arguments);
    }
    const auto operator_status = dispatch_operator(arguments);
    if (operator_status.has_value()) {
        return *operator_status;
    }
    if (is_set("demo")) {
        return demo(is_set("--keep"));
    }
    std::cout << version_text << "\n";
    return 0;
}

} // namespace

int run(const std::vector<std::string>& arguments)
{
    task::block_signals();
    argument_map parsed;
    try {
        parsed = docopt::docopt_parse(usage, arguments, true, false);
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    }
    catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "; see cyclamencourse --help\n";
        return exit_usage;
    }
    return dispatch(parsed);
}

} // namespace cyclamen::cli
