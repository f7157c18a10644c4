#include "cli/explain_command.hpp"

#include <fstream>
#include <iostream>

#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "core/error.hpp"
#include "core/text.hpp"
#include "explain/timeline.hpp"

namespace cyclamen::cli {

int explain(const std::string& request, const std::vector<std::string>& files)
{
    std::vector<explain::log_text> logs;
    for (const std::string& each : files) {
        std::ifstream input{each};
        if (!input) {
            return fail(core::make_error(core::error_kind::not_found,
                                         core::concat("can't read ", each),
                                         "pass the paths of readable log files"),
                        exit_usage);
        }
        logs.push_back(explain::read_log(each, input));
    }
    const auto timeline = explain::build_timeline(request, logs);
    if (timeline.empty()) {
        return fail(
            core::make_error(core::error_kind::not_found,
                             core::concat("no log line mentions request ", request),
                             "pass the logs of all machines that cover the time of the request"),
            exit_failure);
    }
    for (const explain::timeline_entry& each : timeline) {
        std::cout << each.source << ": " << each.text << '\n';
    }
    return 0;
}

} // namespace cyclamen::cli
