#pragma once

namespace cyclamen::cli {

/// Runs engines, instances and callers in this process, kills an engine while answers are streamed,
/// and prints the result of each request.
/// @param keep true to keep everything running until SIGTERM and print commands to try
/// @return exit status, 0 if every answer was whole
int demo(bool keep);

} // namespace cyclamen::cli
