#include "relay/relay_manager.hpp"

/// @file
/// What the instance learns of the speed of targets, and its exchange with other instances.

namespace cyclamen::relay {

namespace {

/// Shortest time between two messages about observed paces.
constexpr core::duration share_period = std::chrono::milliseconds{400};

/// Largest number of targets in such a message.
constexpr std::size_t max_shared = 64;

} // namespace

void relay_manager::on_pace(const routing::pace_observation& seen)
{
    paces_->observe(seen, now_);
    if (now_ - paces_shared_at_ < share_period) {
        return;
    }
    auto news = paces_->take_news(max_shared, now_);
    if (!news.empty()) {
        paces_shared_at_ = now_;
        host_.send(paces_observed{std::move(news), now_});
    }
}

void relay_manager::on(const paces_merged& update)
{
    paces_->learn(update.paces, now_);
}

} // namespace cyclamen::relay
