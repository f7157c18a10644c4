#include "core/log.hpp"

#include <absl/strings/escaping.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cyclamen::core {

namespace {

constexpr const char* line_pattern = "time=%Y-%m-%dT%H:%M:%S.%e level=%l %v";

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

spdlog::logger& event_logger()
{
    static const auto logger = [] {
        auto created = spdlog::stderr_logger_mt("cyclamencourse");
        created->set_pattern(line_pattern);
        return created;
    }();
    return *logger;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\t") != std::string_view::npos;
}

} // namespace

log_level parse_log_level(std::string_view text)
{
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    return text == "error" ? log_level::error : log_level::info;
}

void redirect_log(std::shared_ptr<spdlog::sinks::sink> sink)
{
    sink->set_pattern(line_pattern);
    event_logger().sinks().assign(1, std::move(sink));
}

void set_log_level(log_level min_level)
{
    event_logger().set_level(to_spdlog(min_level));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    spdlog::logger& logger = event_logger();
    if (!logger.should_log(to_spdlog(level))) {
        return;
    }
    std::string line = core::concat("event=", event);
    for (const log_field& field : fields) {
        if (needs_quotes(field.value())) {
            core::append(line, " ", field.key(), "=\"", absl::CEscape(field.value()), "\"");
        }
        else {
            core::append(line, " ", field.key(), "=", field.value());
        }
    }
    logger.log(to_spdlog(level), line);
}

} // namespace cyclamen::core
