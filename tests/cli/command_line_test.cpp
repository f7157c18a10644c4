#include "cli/command_line.hpp"

#include <cstdio>
#include <fstream>

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(invalid_command_lines_and_files_are_rejected)
{
    BOOST_TEST(cli::run({"serve"}) == cli::exit_usage);
    BOOST_TEST(cli::run({"check", "no-such-file.json"}) == cli::exit_usage);
    BOOST_TEST(cli::run({"route", "--config", "no-such-file.json"}) == cli::exit_usage);
    BOOST_TEST(cli::run({"charts", "check", "no-such-folder"}) == cli::exit_usage);
    BOOST_TEST(cli::run({"charts", "dot", "no-such-chart"}) == cli::exit_usage);
    BOOST_TEST(cli::run({"explain", "r1", "no-such-file.log"}) == cli::exit_usage);
    BOOST_TEST(cli::run({"explain", "r1", CYCLAMENCOURSE_SOURCE_DIR "/README.md"}) ==
               cli::exit_failure);
}

BOOST_AUTO_TEST_CASE(charts_of_the_repository_are_valid)
{
    BOOST_TEST(cli::run({"charts", "check", CYCLAMENCOURSE_SOURCE_DIR "/charts"}) == 0);
    BOOST_TEST(cli::run({"charts", "dot", "generation"}) == 0);
    BOOST_TEST(cli::run({"version"}) == 0);
    BOOST_TEST(cli::run({"--help"}) == 0);
}
