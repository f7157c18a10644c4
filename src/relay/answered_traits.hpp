#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "core/identifier.hpp"

namespace cyclamen::relay {

/// Counts the requests that targets answered, by trait, in bounded memory: when a generation of
/// traits is full, those that were not counted again during the next one are forgotten.
class answered_traits {
  public:
    /// @param generation_size number of traits of a generation; twice as many are kept at most
    explicit answered_traits(std::size_t generation_size) : generation_size_{generation_size} {}

    /// Counts an answer.
    /// @return number of answers counted for the trait
    std::size_t add(const core::service_name& service, const std::string& trait);

    /// @return number of answers counted for the trait
    [[nodiscard]] std::size_t count(const core::service_name& service,
                                    const std::string& trait) const;

    [[nodiscard]] std::size_t size() const { return current_.size() + former_.size(); }

  private:
    using trait_key = std::pair<core::service_name, std::string>;

    const std::size_t generation_size_;
    std::map<trait_key, std::size_t> current_;
    std::map<trait_key, std::size_t> former_;
};

} // namespace cyclamen::relay
