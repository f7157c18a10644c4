#include "model/rollout_decoder.hpp"

#include <algorithm>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::model {

namespace {

using document = nlohmann::json;

constexpr std::uint32_t default_exposure_permille = 50;
constexpr std::uint64_t default_watch_seconds = 600;

/// Parses a number of fixed width at a position of the text.
std::optional<int> digits(std::string_view text, std::size_t first, std::size_t width)
{
    return core::parse_number<int>(text.substr(first, width));
}

/// @return true if the text has digits and separators in the right positions
bool has_separators(std::string_view text)
{
    constexpr std::string_view pattern = "####-##-##T##:##:##Z";
    return text.size() == pattern.size() &&
           std::equal(text.begin(), text.end(), pattern.begin(), [](char actual, char expected) {
               return expected == '#' ? actual >= '0' && actual <= '9' : actual == expected;
           });
}

class rollout_reader {
  public:
    rollout_reader(const std::vector<service>& services, const std::vector<target>& targets,
                   std::vector<json::validation_error>& errors)
        : services_{services}, targets_{targets}, errors_{errors}
    {
    }

    void read(const document& body)
    {
        pointer_ = core::concat("/rollouts/", next_index_++);
        rollout decoded{core::rollout_name{body["name"]},
                        core::service_name{body["service"]},
                        core::version_name{body["from"]},
                        core::version_name{body["to"]},
                        read_selector(body, "targets"),
                        read_selector(body, "traffic"),
                        read_deadline(body),
                        std::chrono::seconds{body.value("watch_seconds", default_watch_seconds)},
                        body.value("exposure_permille", default_exposure_permille),
                        body.value("attempt", 1U),
                        body.value("weights_bytes", std::uint64_t{0})};
        check_service(decoded);
        check_versions(decoded);
        check_conflicts(decoded);
        rollouts_.push_back(std::move(decoded));
    }

    [[nodiscard]] std::vector<rollout> take() { return std::move(rollouts_); }

  private:
    const std::vector<service>& services_;
    const std::vector<target>& targets_;
    std::vector<json::validation_error>& errors_;
    std::vector<rollout> rollouts_;
    std::string pointer_;
    std::size_t next_index_ = 0;

    void add_error(std::string_view field, std::string problem)
    {
        errors_.push_back(
            json::validation_error{core::concat(pointer_, "/", field), std::move(problem)});
    }

    selector read_selector(const document& body, const char* field)
    {
        auto parsed = selector::parse(body.value(field, ""));
        if (!parsed.ok()) {
            add_error(field, std::string{parsed.status().message()});
            return {};
        }
        return *std::move(parsed);
    }

    core::wall_time read_deadline(const document& body)
    {
        const auto parsed = parse_wall_time(body["deadline"].get<std::string>());
        if (!parsed.ok()) {
            add_error("deadline", std::string{parsed.status().message()});
        }
        return parsed.value_or(core::wall_time{});
    }

    void check_service(const rollout& decoded)
    {
        const bool known =
            std::any_of(services_.begin(), services_.end(), [&](const service& candidate) {
                return candidate.name == decoded.service;
            });
        if (!known) {
            add_error("service",
                      core::concat("service ", decoded.service.str(), " is not declared"));
        }
        if (decoded.from == decoded.to) {
            add_error("to", core::concat("version ", decoded.to.str(),
                                         " is also the version to move from"));
        }
    }

    void check_versions(const rollout& decoded)
    {
        const auto carries = [&](const core::version_name& version, const target& candidate) {
            return candidate.service == decoded.service && candidate.version == version;
        };
        const bool has_from =
            std::any_of(targets_.begin(), targets_.end(),
                        [&](const target& candidate) { return carries(decoded.from, candidate); });
        if (!has_from) {
            add_error("from",
                      core::concat("no target of the service has version ", decoded.from.str()));
        }
        const bool has_to =
            std::any_of(targets_.begin(), targets_.end(), [&](const target& candidate) {
                return carries(decoded.to, candidate) && decoded.targets.matches(candidate.labels);
            });
        if (!has_to) {
            add_error("to",
                      core::concat("the selector finds no target with version ", decoded.to.str()));
        }
    }

    void check_conflicts(const rollout& decoded)
    {
        for (const rollout& other : rollouts_) {
            if (other.name == decoded.name) {
                add_error("name", core::concat("name ", decoded.name.str(), " is declared twice"));
            }
            if (other.service != decoded.service) {
                continue;
            }
            const char* conflict = other.traffic.may_overlap(decoded.traffic)
                                       ? "select the same traffic of service "
                                       : "are both on service ";
            add_error("service",
                      core::concat("rollouts ", other.name.str(), " and ", decoded.name.str(), " ",
                                   conflict, decoded.service.str(),
                                   ", which carries one rollout at a time"));
        }
    }
};

} // namespace

std::vector<rollout> decode_rollouts(const document& bodies, const std::vector<service>& services,
                                     const std::vector<target>& targets,
                                     std::vector<json::validation_error>& errors)
{
    rollout_reader reader{services, targets, errors};
    for (const document& body : bodies) {
        reader.read(body);
    }
    return reader.take();
}

absl::StatusOr<core::wall_time> parse_wall_time(std::string_view text)
{
    using namespace std::chrono;
    const auto invalid = [&] {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat("\"", text, "\" is not a valid time"),
                                "write it in UTC as 2027-01-31T15:00:00Z");
    };
    if (!has_separators(text)) {
        return invalid();
    }
    const year_month_day date{year{*digits(text, 0, 4)},
                              month{static_cast<unsigned>(*digits(text, 5, 2))},
                              day{static_cast<unsigned>(*digits(text, 8, 2))}};
    const int hour = *digits(text, 11, 2);
    const int minute = *digits(text, 14, 2);
    const int second = *digits(text, 17, 2);
    constexpr int hours_a_day = 24;
    constexpr int sixty = 60;
    if (!date.ok() || hour >= hours_a_day || minute >= sixty || second >= sixty) {
        return invalid();
    }
    return core::wall_time{sys_days{date} + hours{hour} + minutes{minute} + seconds{second}};
}

std::string to_string(core::wall_time time)
{
    using namespace std::chrono;
    const sys_days midnight = floor<days>(time);
    const year_month_day date{midnight};
    const hh_mm_ss clock{floor<seconds>(time - midnight)};
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", static_cast<int>(date.year()),
                       static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                       clock.hours().count(), clock.minutes().count(), clock.seconds().count());
}

} // namespace cyclamen::model
