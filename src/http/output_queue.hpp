#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen::http {

/// Bytes that wait to be sent, in blocks of one size: a text that grows by doubling would hold up
/// to twice its bytes, and leave gaps in the heap that no other connection can use.
class output_queue {
  public:
    /// Adds bytes at the end.
    void append(std::string_view bytes);

    /// Removes the first blocks.
    /// @param max_bytes the blocks have at most so many bytes, but there is at least one
    /// @return the blocks, none if the queue is empty
    [[nodiscard]] std::vector<std::string> take(std::size_t max_bytes);

    /// @return number of bytes
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return blocks_.empty(); }

    /// @return memory of the blocks, in bytes
    [[nodiscard]] std::size_t memory() const { return memory_; }

  private:
    std::deque<std::string> blocks_;
    std::size_t size_ = 0;
    std::size_t memory_ = 0;
};

} // namespace cyclamen::http
