#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::limits {

/// Identifies who holds memory, such as a connection of a caller.
using holder_id = core::number<struct holder_id_tag>;

/// Bounds on the memory held for callers.
struct memory_limits {
    /// Received bytes of all holders: input, heads and bodies of requests that are not answered.
    const std::size_t max_input_bytes = 64 * 1024 * 1024;
    /// Memory of all holders for bytes that wait until their callers read them.
    const std::size_t max_output_bytes = 64 * 1024 * 1024;
    /// Output of one holder above which it may not be read.
    const std::size_t max_unread_bytes = 32 * 1024;
    /// Time without progress from which on a caller counts as one that doesn't read.
    const core::duration reading_time = std::chrono::seconds{5};

    auto operator<=>(const memory_limits&) const = default;
};

/// Memory of one holder, in bytes.
struct held_memory {
    const std::size_t input = 0;
    const std::size_t output = 0;
    /// Memory of the buffers of the output beside its bytes.
    const std::size_t output_slack = 0;
    /// The output belongs to an answer that is still being produced.
    const bool is_stream = false;

    auto operator<=>(const held_memory&) const = default;
};

/// Gives up what it holds. Implemented by the owner of the memory.
class memory_holder {
  public:
    virtual ~memory_holder() = default;

    /// Called by memory_ledger::enforce(); the holder must release its memory and be removed from
    /// the ledger before it returns.
    /// @param held what it held
    virtual void give_up(const held_memory& held) = 0;
};

/// Counts the memory held for callers, and decides who is read and who gives up memory when there
/// is too much. Not thread-safe: all holders belong to one thread.
class memory_ledger {
  public:
    explicit memory_ledger(const memory_limits& limits) : limits_{limits} {}
    memory_ledger(const memory_ledger&) = delete;
    memory_ledger& operator=(const memory_ledger&) = delete;

    /// Adds a holder without memory.
    /// @param holder must outlive its entry
    /// @return its id
    holder_id open(memory_holder& holder);

    /// Sets what a holder holds. It has made progress if it has received more or its output was
    /// read.
    void set(holder_id id, const held_memory& held, core::instant now);

    /// Removes a holder. No effect if it is not in the ledger.
    void close(holder_id id);

    /// @return false if the holder's caller must read before anything more is read from it
    [[nodiscard]] bool may_read(holder_id id) const;

    /// Makes holders give up their memory until the sums are within the limits: first those with
    /// the most bytes for the longest time without progress. A stream that its caller reads doesn't
    /// give up an equal share of the sum.
    void enforce(core::instant now);

    [[nodiscard]] std::size_t input_bytes() const { return input_bytes_; }
    [[nodiscard]] std::size_t output_bytes() const { return output_bytes_; }

  private:
    struct entry {
        memory_holder* holder;
        std::size_t input = 0;
        std::size_t output = 0;
        /// Output with the slack of its buffers.
        std::size_t output_memory = 0;
        bool is_stream = false;
        core::instant progressed_at;
    };

    const memory_limits limits_;
    std::map<holder_id, entry> entries_;
    holder_id last_id_;
    std::size_t input_bytes_ = 0;
    std::size_t output_bytes_ = 0;

    void enforce_sum(const std::size_t& sum, std::size_t limit, std::size_t entry::*part,
                     core::instant now);
    [[nodiscard]] bool is_read_stream(const entry& checked, core::instant now) const;
};

} // namespace cyclamen::limits
