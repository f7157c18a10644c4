#include "cli/soak_command.hpp"

#include <filesystem>
#include <iostream>

#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "core/error.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "soak/soak.hpp"

namespace cyclamen::cli {

namespace {

void print_result(std::uint64_t seed, const soak::soak_result& result)
{
    std::cout << "seed=" << seed << " faults=" << result.faults.size() << " calls=" << result.calls;
    for (const auto& [status, count] : result.statuses) {
        std::cout << " status_" << status << "=" << count;
    }
    std::cout << " broken=" << result.violations.size() << std::endl;
    for (const std::string& each : result.violations) {
        std::cout << "  " << each << '\n';
    }
}

} // namespace

int soak(const std::string& program, std::uint64_t first_seed, std::uint64_t count,
         std::uint64_t seconds, soak_variant variant, bool keep)
{
    core::set_log_level(core::log_level::error);
    bool violated = false;
    for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
        const std::filesystem::path folder =
            std::filesystem::temp_directory_path() / core::concat("cyclamencourse-soak-", seed);
        std::error_code failure;
        std::filesystem::remove_all(folder, failure);
        if (!std::filesystem::create_directories(folder, failure)) {
            return fail(core::make_error(core::error_kind::unavailable,
                                         core::concat("can't create ", folder.string()),
                                         "make the folder for temporary files writable"),
                        exit_failure);
        }
        const auto result =
            soak::run_soak(soak::soak_settings{.seed = seed,
                                               .program = program,
                                               .folder = folder.string(),
                                               .length = std::chrono::seconds{seconds},
                                               .crashes = variant == soak_variant::crashes,
                                               .silences = variant == soak_variant::silences});
        if (!result.ok()) {
            return fail(result.status(), exit_failure);
        }
        print_result(seed, *result);
        violated = violated || !result->violations.empty();
        if (!result->violations.empty() || keep) {
            std::cout << "  logs: " << folder.string() << std::endl;
        }
        else {
            std::filesystem::remove_all(folder, failure);
        }
    }
    return violated ? exit_failure : 0;
}

} // namespace cyclamen::cli
