#pragma once

#include <string>

#include "core/time.hpp"
#include "model/client_account.hpp"
#include "model/service.hpp"

namespace cyclamen::generation {

/// A generation that has no version yet. Refers to objects of the active configuration.
struct new_generation {
    const model::service& service;
    const model::client_account& account;
    /// Route by which the version is used, as in attempt_subject::route.
    const std::string& route;
};

/// Chooses the version of a new generation, which all its attempts use. Called by the generation
/// manager on the decision task.
class version_chooser {
  public:
    virtual ~version_chooser() = default;

    /// @param work the new generation
    /// @param now current instant
    /// @return the version that serves it
    [[nodiscard]] virtual core::version_name choose_version(const new_generation& work,
                                                            core::instant now) = 0;
};

/// Chooses the version that the service declares.
class declared_version_chooser final : public version_chooser {
  public:
    [[nodiscard]] core::version_name choose_version(const new_generation& work,
                                                    core::instant /*now*/) override
    {
        return work.service.version;
    }
};

} // namespace cyclamen::generation
