#include "cli/command_line.hpp"

int main(int argc, char** argv)
{
    return cyclamen::cli::run({argv + 1, argv + argc});
}
