#include "http/output_queue.hpp"

#include <algorithm>

namespace cyclamen::http {

namespace {

constexpr std::size_t block_bytes = 4 * 1024;

} // namespace

void output_queue::append(std::string_view bytes)
{
    size_ += bytes.size();
    while (!bytes.empty()) {
        const std::size_t room =
            blocks_.empty() ? 0 : blocks_.back().capacity() - blocks_.back().size();
        if (room == 0) {
            // The first block is as long as its bytes, since most answers are sent at once.
            blocks_.emplace_back();
            blocks_.back().reserve(blocks_.size() == 1 ? std::min(bytes.size(), block_bytes)
                                                       : block_bytes);
            memory_ += blocks_.back().capacity();
            continue;
        }
        const std::size_t count = std::min(room, bytes.size());
        blocks_.back().append(bytes.substr(0, count));
        bytes.remove_prefix(count);
    }
}

std::vector<std::string> output_queue::take(std::size_t max_bytes)
{
    std::vector<std::string> taken;
    std::size_t count = 0;
    while (!blocks_.empty() && (taken.empty() || count + blocks_.front().size() <= max_bytes)) {
        count += blocks_.front().size();
        memory_ -= blocks_.front().capacity();
        taken.push_back(std::move(blocks_.front()));
        blocks_.pop_front();
    }
    size_ -= count;
    return taken;
}

} // namespace cyclamen::http
