#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "http/http_types.hpp"
#include "standin/engine_model.hpp"

namespace cyclamen::standin {

/// The rest of a stream, for a new connection.
struct resumed_stream {
    const std::vector<std::string> tokens;
    /// True where nothing follows these tokens.
    const bool ended;

    auto operator<=>(const resumed_stream&) const = default;
};

/// The named streams of a stand-in engine: what they have produced and which connection gets it.
/// A stream without a connection lapses after a while. Opens no socket and reads no clock.
class stream_store {
  public:
    /// @param keep how long a stream is kept without a connection, or after its end
    explicit stream_store(core::duration retention) : retention_{retention} {}

    /// Adds a stream that a connection opened.
    void open(stream_id stream, const std::string& name, http::exchange_id connection);

    /// Adds a token to a stream.
    /// @return the connection that gets it, empty where there is none
    std::optional<http::exchange_id> append(const produced_token& produced, core::instant now);

    /// Lets a new connection go on with a stream; the old one gets nothing more.
    /// @param name name of the stream
    /// @param after how many of its tokens the other side has
    /// @param connection the new connection
    /// @return what the stream has produced since; empty where there is no such stream, or it has
    ///         not produced that many
    [[nodiscard]] std::optional<resumed_stream> resume(const std::string& name, std::uint64_t after,
                                                       http::exchange_id connection);

    /// A connection has ended.
    /// @return the stream that nobody waits for now, empty where there is none
    [[nodiscard]] std::optional<stream_id> close_connection(http::exchange_id connection);

    /// Removes a stream by name.
    /// @return its number, empty where there is none
    [[nodiscard]] std::optional<stream_id> cancel(const std::string& name);

    /// The connections that are open now bring nothing more, though neither end knows.
    void detach_connections(core::instant now);

    /// Removes the streams that nobody has asked for in time.
    /// @return their numbers
    [[nodiscard]] std::vector<stream_id> remove_expired(core::instant now);

    /// @return when lapse() is due next, empty where nothing waits
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
