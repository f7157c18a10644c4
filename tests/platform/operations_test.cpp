#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

namespace {

const std::filesystem::path root{CYCLAMENCOURSE_SOURCE_DIR};

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream input{path};
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::set<std::string> matches(const std::string& text, const char* pattern)
{
    std::set<std::string> found;
    const std::regex expression{pattern};
    for (auto each = std::sregex_iterator{text.begin(), text.end(), expression};
         each != std::sregex_iterator{}; ++each) {
        found.insert((*each)[1].str());
    }
    return found;
}

/// @return all sources of the relay, concatenated
std::string relay_sources()
{
    std::string text;
    for (const char* folder : {"platform", "src/relay", "src/replica", "src/routing"}) {
        for (const auto& each : std::filesystem::directory_iterator{root / folder}) {
            if (each.path().extension() == ".cpp") {
                text += read_file(each.path());
            }
        }
    }
    return text + read_file(root / "src/cli/relay_command.cpp") +
           read_file(root / "src/task/standard_output_log.cpp");
}

/// @return the table of log events on the operations page
std::string event_table()
{
    const std::string page = read_file(root / "docs/OPERATIONS.md");
    const std::size_t start = page.find("| event | says |");
    return page.substr(start, page.find("\n\n", start) - start);
}

} // namespace

BOOST_AUTO_TEST_CASE(every_logged_event_is_documented)
{
    const std::string sources = relay_sources();
    std::set<std::string> logged =
        matches(sources, R"re(log_event\(\s*core::log_level::\w+,\s*"(\w+)")re");
    logged.merge(matches(sources, R"re(note_end\("(\w+)"\))re"));
    BOOST_TEST(logged.size() > 20U);
    const std::set<std::string> documented = matches(event_table(), "`([a-z_]+)`");
    for (const std::string& each : logged) {
        BOOST_TEST(documented.contains(each), "not documented: " << each);
    }
}

BOOST_AUTO_TEST_CASE(every_documented_event_is_logged)
{
    const std::string sources = relay_sources();
    const std::string table = event_table();
    for (const std::string& line : matches(table, R"re(\n\| ([^|]+) \|)re")) {
        for (const std::string& each : matches(line, "`([a-z_]+)`")) {
            BOOST_TEST(sources.find("\"" + each + "\"") != std::string::npos,
                       "not logged: " << each);
        }
    }
}
