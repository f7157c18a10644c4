#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cli/command_line.hpp"
#include "instance/instance.hpp"
#include "model/client_account.hpp"
#include "support/table_service.hpp"

using namespace cyclamen;

namespace {

/// One instance with a table service, and the files of an operator.
class operator_fixture {
  public:
    operator_fixture()
    {
        core::set_log_level(core::log_level::error);
        std::filesystem::create_directories(folder_);
        write("token", "secret\n");
        write("services.json", R"({"services": [{"name": "notices", "kind": "generation"}]})");
        write("more.json", R"({"services": [{"name": "schedules", "kind": "generation"}]})");
        write("faulty.json", R"({"services": [{"name": "notices"}]})");
        BOOST_REQUIRE(table_.start().ok());
        const auto decoded = settings::decode_instance_settings(
            {{"name", "i"},
             {"failure_domain", "regina"},
             {"listen", core::to_string(address_)},
             {"platform", {{"table", core::to_string(table_.address)}}},
             {"operators",
              {{{"name", "ann"}, {"token_hash", model::hash_key("secret")}, {"may_apply", true}}}}},
            "test");
        BOOST_REQUIRE(decoded.ok());
        auto started = instance::instance::start(*decoded, chart::library::embedded());
        BOOST_REQUIRE(started.ok());
        instance_ = *std::move(started);
    }
    ~operator_fixture()
    {
        instance_->stop();
        table_.stop();
        std::filesystem::remove_all(folder_);
    }
    operator_fixture(const operator_fixture&) = delete;
    operator_fixture& operator=(const operator_fixture&) = delete;

    /// Runs an operator command against the instance.
    /// @return exit status
    int run(std::vector<std::string> arguments)
    {
        for (const char* each : {"--at", "", "--token-file", ""}) {
            arguments.emplace_back(each);
        }
        arguments[arguments.size() - 3] = core::to_string(address_);
        arguments.back() = path("token");
        return cli::run(arguments);
    }
    std::string path(const std::string& file) { return (folder_ / file).string(); }

  private:
    std::filesystem::path folder_ = std::filesystem::temp_directory_path() /
                                    ("operator_commands_test_" + std::to_string(::getpid()));
    core::socket_address address_ = test::free_address();
    test::table_service table_;
    std::unique_ptr<instance::instance> instance_;

    void write(const std::string& file, const std::string& text)
    {
        std::ofstream{folder_ / file} << text;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(operators_apply_compare_and_roll_back)
{
    operator_fixture fixture;
    const std::string services = fixture.path("services.json");
    const std::string more = fixture.path("more.json");
    BOOST_TEST(fixture.run({"apply", services, "--dry-run"}) == 0);
    BOOST_TEST(fixture.run({"diff", services}) == 1);
    BOOST_TEST(fixture.run({"apply", services}) == 0);
    BOOST_TEST(fixture.run({"status", "--wait"}) == 0);
    BOOST_TEST(fixture.run({"diff", services}) == 0);
    BOOST_TEST(fixture.run({"apply", services, more, "--expect", "1"}) == 0);
    BOOST_TEST(fixture.run({"apply", services, "--expect", "1"}) == 1);
    BOOST_TEST(fixture.run({"rollback", "1"}) == 0);
    BOOST_TEST(fixture.run({"diff", services}) == 0);
    BOOST_TEST(fixture.run({"get"}) == 0);
    BOOST_TEST(fixture.run({"history"}) == 0);
}

BOOST_AUTO_TEST_CASE(invalid_operator_commands_are_rejected)
{
    operator_fixture fixture;
    BOOST_TEST(fixture.run({"apply", fixture.path("faulty.json")}) == 1);
    BOOST_TEST(fixture.run({"apply", fixture.path("absent.json")}) == 2);
    BOOST_TEST(fixture.run({"rollback", "7"}) == 1);
    BOOST_TEST(cli::run({"get", "--at", "127.0.0.1:1", "--token-file", fixture.path("token")}) ==
               1);
}
