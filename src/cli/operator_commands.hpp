#pragma once

#include <optional>
#include <string>
#include <vector>

namespace cyclamen::cli {

/// Where and as whom an operator asks.
struct operator_endpoint {
    /// Address of any instance, ip:port.
    const std::string address;
    /// File that holds the operator's token.
    const std::string token_file;
};

/// Applies the declarations of files, put together; whole or not at all.
/// @param files JSON files of declarations
/// @param endpoint where and as whom
/// @param expected revision that they must follow; empty for whichever is the newest
/// @param dry_run true where they are only to be checked
/// @return the exit status
int apply(const std::vector<std::string>& files, const operator_endpoint& endpoint,
          const std::string& expected, bool dry_run);

/// Prints the declarations in force.
int get(const operator_endpoint& endpoint);

/// Prints how the declarations of files differ from those in force, as a JSON patch.
/// @return the exit status: 1 where they differ
int diff(const std::vector<std::string>& files, const operator_endpoint& endpoint);

/// Prints what is in force at each instance.
/// @param endpoint where and as whom
/// @param wait true where to wait until the newest revision is in force everywhere
int status(const operator_endpoint& endpoint, bool wait);

/// Prints the accepted revisions, newest first.
int history(const operator_endpoint& endpoint);

/// Makes the declarations of an earlier revision the next one.
int rollback(const std::string& revision, const operator_endpoint& endpoint);

} // namespace cyclamen::cli
