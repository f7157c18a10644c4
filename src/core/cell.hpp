#pragma once

#include <optional>
#include <utility>

namespace cyclamen::core {

/// Holds an immutable value that its owner replaces as a whole. Not thread-safe: only the owning
/// task may use it.
/// @tparam Value an immutable value type; it need not be assignable
template <class Value>
class cell {
  public:
    explicit cell(Value value) : value_{std::in_place, std::move(value)} {}

    /// @return the current value
    [[nodiscard]] const Value& get() const { return *value_; }

    /// Replaces the current value.
    void set(Value value) { value_.emplace(std::move(value)); }

  private:
    std::optional<Value> value_;
};

} // namespace cyclamen::core
