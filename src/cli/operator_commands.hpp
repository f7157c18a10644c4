#pragma once

#include <optional>
#include <string>
#include <vector>

namespace cyclamen::cli {

/// The instance that an operator command is sent to, and the operator's credentials.
struct operator_endpoint {
    /// Address of any instance, ip:port.
    const std::string address;
    /// Path of the file that contains the operator's token.
    const std::string token_file;
};

/// Merges the declarations of files and applies them atomically.
/// @param files JSON files of declarations
/// @param endpoint instance and credentials
/// @param expected newest revision that the change is based on, empty to accept any
/// @param dry_run true to check the declarations without applying them
/// @return exit status
int apply(const std::vector<std::string>& files, const operator_endpoint& endpoint,
          const std::string& expected, bool dry_run);

/// Prints the configuration in force.
/// @return exit status
int get(const operator_endpoint& endpoint);

/// Prints the difference of the declarations of files to those in force, as a JSON patch.
/// @return exit status, 1 if they differ
int diff(const std::vector<std::string>& files, const operator_endpoint& endpoint);

/// Prints the revision in force at each instance.
/// @param endpoint instance and credentials
/// @param wait true to wait until the newest revision is in force everywhere, at most 60 s
/// @return exit status, 0 if the newest revision is in force everywhere
int status(const operator_endpoint& endpoint, bool wait);

/// Prints the accepted revisions, newest first.
/// @return exit status
int history(const operator_endpoint& endpoint);

/// Applies the declarations of an earlier revision as a new revision.
/// @return exit status
int rollback(const std::string& revision, const operator_endpoint& endpoint);

} // namespace cyclamen::cli
