#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "http/http_types.hpp"
#include "standin/engine_model.hpp"

namespace cyclamen::standin {

/// Tokens of a stream that a new connection still has to get.
struct resumed_stream {
    const std::vector<std::string> tokens;
    /// True if no more tokens follow.
    const bool ended;

    auto operator<=>(const resumed_stream&) const = default;
};

/// The named streams of a stand-in engine: the tokens they have produced and the connections that
/// receive them. A stream without a connection expires. Opens no socket and reads no clock.
class stream_store {
  public:
    /// @param retention time that a stream is kept without a connection, or after its end
    explicit stream_store(core::duration retention) : retention_{retention} {}

    /// Adds a stream opened by a connection.
    void open(stream_id stream, const std::string& name, http::exchange_id connection);

    /// Adds a token to a stream.
    /// @return the connection that receives the token, empty if there is none
    std::optional<http::exchange_id> append(const produced_token& produced, core::instant now);

    /// Continues a stream on a new connection; the previous one receives nothing more.
    /// @param name name of the stream
    /// @param after number of tokens that the client has
    /// @param connection the new connection
    /// @return the tokens after those, empty if the stream is unknown or has produced fewer than
    ///         `after` tokens
    [[nodiscard]] std::optional<resumed_stream> resume(const std::string& name, std::uint64_t after,
                                                       http::exchange_id connection);

    /// Removes the unfinished stream of a connection that has ended.
    /// @return its id, empty if there is none
    [[nodiscard]] std::optional<stream_id> close_connection(http::exchange_id connection);

    /// Removes a stream by name.
    /// @return its id, empty if the stream is unknown
    [[nodiscard]] std::optional<stream_id> cancel(const std::string& name);

    /// Detaches all streams from their connections, which stay open but receive nothing more.
    void detach_connections(core::instant now);

    /// Removes the streams whose retention has passed.
    /// @return their ids
    [[nodiscard]] std::vector<stream_id> remove_expired(core::instant now);

    /// @return when the next stream expires, empty if none does
    [[nodiscard]] std::optional<core::instant> next_expiry() const;

    void clear() { streams_.clear(); }

  private:
    struct stream_state {
        std::string name;
        std::vector<std::string> tokens;
        std::optional<http::exchange_id> connection;
        std::optional<core::instant> expires_at;
        bool ended = false;
    };

    const core::duration retention_;
    std::map<stream_id, stream_state> streams_;

    [[nodiscard]] std::map<stream_id, stream_state>::iterator find(const std::string& name);
};

} // namespace cyclamen::standin
