#include "standin/stream_store.hpp"

#include <algorithm>

namespace cyclamen::standin {

void stream_store::open(stream_id stream, const std::string& name, http::exchange_id connection)
{
    streams_.insert_or_assign(stream, stream_state{name, {}, connection, std::nullopt});
}

std::optional<http::exchange_id> stream_store::append(const produced_token& produced,
                                                      core::instant now)
{
    const auto found = streams_.find(produced.stream);
    if (found == streams_.end()) {
        return std::nullopt;
    }
    stream_state& state = found->second;
    state.tokens.push_back(produced.token);
    if (produced.last) {
        state.ended = true;
        state.expires_at = now + retention_;
    }
    return state.connection;
}

std::optional<resumed_stream> stream_store::resume(const std::string& name, std::uint64_t after,
                                                   http::exchange_id connection)
{
    const auto found = find(name);
    if (found == streams_.end() || after > found->second.tokens.size()) {
        return std::nullopt;
    }
    stream_state& state = found->second;
    state.connection = connection;
    if (!state.ended) {
        state.expires_at.reset();
    }
    return resumed_stream{
        {state.tokens.begin() + static_cast<std::ptrdiff_t>(after), state.tokens.end()},
        state.ended};
}

std::optional<stream_id> stream_store::close_connection(http::exchange_id connection)
{
    for (auto& [stream, state] : streams_) {
        if (state.connection == connection && !state.ended) {
            const stream_id closed = stream;
            streams_.erase(closed);
            return closed;
        }
    }
    return std::nullopt;
}

std::optional<stream_id> stream_store::cancel(const std::string& name)
{
    const auto found = find(name);
    if (found == streams_.end()) {
        return std::nullopt;
    }
    const stream_id cancelled = found->first;
    streams_.erase(found);
    return cancelled;
}

void stream_store::detach_connections(core::instant now)
{
    for (auto& [stream, state] : streams_) {
        if (state.connection.has_value()) {
            state.connection.reset();
            state.expires_at = now + retention_;
        }
    }
}

std::vector<stream_id> stream_store::remove_expired(core::instant now)
{
    std::vector<stream_id> expired;
    for (const auto& [stream, state] : streams_) {
        if (state.expires_at.has_value() && *state.expires_at <= now) {
            expired.push_back(stream);
        }
    }
    for (const stream_id stream : expired) {
        streams_.erase(stream);
    }
    return expired;
}

std::optional<core::instant> stream_store::next_expiry() const
{
    std::optional<core::instant> next;
    for (const auto& [stream, state] : streams_) {
        if (state.expires_at.has_value()) {
            next = std::min(next.value_or(*state.expires_at), *state.expires_at);
        }
    }
    return next;
}

std::map<stream_id, stream_store::stream_state>::iterator
stream_store::find(const std::string& name)
{
    return std::find_if(streams_.begin(), streams_.end(),
                        [&](const auto& each) { return each.second.name == name; });
}

} // namespace cyclamen::standin
