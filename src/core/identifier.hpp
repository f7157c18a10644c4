#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace cyclamen::core {

/// A strongly typed textual identifier.
/// @tparam Tag an empty type that makes identifiers of different entities distinct types
template <class Tag>
class name {
  public:
    name() = default;
    explicit name(std::string text) : text_{std::move(text)} {}

    /// @return the text of the identifier
    [[nodiscard]] const std::string& str() const { return text_; }

    /// @return true if no identifier was given
    [[nodiscard]] bool empty() const { return text_.empty(); }

    auto operator<=>(const name&) const = default;

  private:
    std::string text_;
};

/// A strongly typed numeric identifier or sequence number.
/// @tparam Tag an empty type that makes numbers of different entities distinct types
template <class Tag>
class number {
  public:
    constexpr number() = default;
    explicit constexpr number(std::uint64_t value) : value_{value} {}

    /// @return the plain value
    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

    /// @return this number plus one
    [[nodiscard]] constexpr number next() const { return number{value_ + 1}; }

    auto operator<=>(const number&) const = default;

  private:
    std::uint64_t value_ = 0;
};

using instance_name = name<struct instance_name_tag>;
using failure_domain_name = name<struct failure_domain_name_tag>;
using account_name = name<struct account_name_tag>;
using service_name = name<struct service_name_tag>;
using version_name = name<struct version_name_tag>;
using target_name = name<struct target_name_tag>;
using rollout_name = name<struct rollout_name_tag>;
using request_key = name<struct request_key_tag>;

/// Identifies the connection of a caller within one front task.
using caller_id = number<struct caller_id_tag>;
/// Identifies a generation within one instance incarnation.
using generation_id = number<struct generation_id_tag>;
/// Sequence number of an attempt within one generation, starting at 1.
using attempt_number = number<struct attempt_number_tag>;
/// Distinguishes successive processes that use the same instance name; a later one is higher.
using incarnation = number<struct incarnation_tag>;
/// Sequence number of an accepted configuration.
using revision = number<struct revision_tag>;

} // namespace cyclamen::core
