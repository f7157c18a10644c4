#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// @file
/// Stand-ins of the platform's store and of runners, clients, and the processes under test, for the
/// cases of the second review. Plain threads and blocking sockets on 127.0.0.1.

namespace review {

using clock = std::chrono::steady_clock;

/// Writes what was sent, answered and run to the case's record. Safe on all threads.
class recorder {
  public:
    explicit recorder(const std::string& path);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void add(const std::string& line);

  private:
    std::mutex mutex_;
    const clock::time_point begin_ = clock::now();
    std::FILE* file_;
};

/// An HTTP/1.1 message. Names of fields are in lower case.
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string path() const;
    /// @return status of a response, 0 if there is none
    [[nodiscard]] int status() const;
};

/// A TCP address on loopback.
struct endpoint {
    std::string ip = "127.0.0.1";
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// One connection with blocking reads.
class connection {
  public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @return a connection, null if it isn't accepted
    static std::unique_ptr<connection> open(const endpoint& to);

    [[nodiscard]] int descriptor() const { return descriptor_; }
    bool send(std::string_view bytes) const;
    /// @param limit longest wait for the next bytes
    void set_read_limit(std::chrono::milliseconds limit) const;
    /// @return the head, empty at the end of the connection or after the limit
    std::optional<message> read_head();
    /// Reads the body that the head announces.
    /// @return false if it is not complete
    bool read_body(message& into);
    /// @return head and body, empty if they are not complete
    std::optional<message> read_message();
    /// @return true if the peer has closed the connection; unread bytes count as open
    [[nodiscard]] bool is_closed() const;
    void close();

  private:
    int descriptor_;
    std::string buffer_;

    bool fill();
    std::optional<std::string> read_line();
};

std::string encode_response(int status,
                            const std::vector<std::pair<std::string, std::string>>& fields,
                            std::string_view body);

/// Accepts connections on a free port and calls the handler on a thread for each of them.
class listener {
  public:
    using handler = std::function<void(connection&, const message&)>;

    explicit listener(handler on_request);
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    /// Resets all connections and refuses new ones until resume(), as after the end of a process.
    void crash();
    void resume();

  private:
    const handler on_request_;
    std::mutex mutex_;
    std::set<int> accepted_;
    std::atomic<int> descriptor_{-1};
    int port_ = 0;

    void listen();
    void accept_all(int descriptor);
};

/// Stand-in of the platform's store: conditional transactions, reads and feeds of rows.
class store {
  public:
    store();

    [[nodiscard]] std::string address() const { return listener_->address(); }
    /// Writes a row as the operator or a runner does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// @return the value of a row, empty if there is none
    [[nodiscard]] std::string value(const std::string& table, const std::string& key);

  private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 1;
    std::unique_ptr<listener> listener_;

    void write(const std::string& table, const std::string& key, std::string value, bool removed);
    void answer(connection& from, const message& request);
    std::string read_rows(const std::string& path);
    std::string feed_rows(const std::string& path);
    std::pair<int, std::string> transact(const std::string& body);
    std::string encode_rows(const std::string& table, std::uint64_t after, const std::string& from,
                            bool with_removed);
};

/// A request that has reached a runner.
struct arrival {
    std::string runner;
    std::string id;
    message request;
    clock::time_point at;
};

struct runner_settings {
    std::string name;
    std::string service;
    std::string zone;
    /// An engine answers with a stream of events, another runner with one body.
    bool is_engine = false;
    std::chrono::milliseconds work_time{30};
    std::chrono::milliseconds event_gap{50};
    int events = 60;
    /// Text in a request's body that makes the runner crash as it begins to run the request.
    std::string deadly_body;
    /// Part of a prompt that makes an engine crash as it begins to write an answer on it.
    std::string deadly_part;
    /// An engine sends the head of its answer when it has admitted the request, and the first event
    /// after `work_time`; otherwise both then.
    bool sends_head_first = false;
    std::string version = "v1";
    /// From then on each fourth plain answer is a failure.
    std::optional<clock::time_point> bad_from;
    /// Time from a crash until the runner is back.
    std::chrono::milliseconds down_time{2000};
};

/// Stand-in of a sound runner.
class runner {
  public:
    runner(runner_settings settings, store& rows, recorder& record);

    [[nodiscard]] const std::string& name() const { return settings_.name; }
    [[nodiscard]] std::string address() const { return listener_->address(); }
    /// Writes the runner's row, `ready` or `draining`.
    void list(const std::string& state);
    /// The runner has left: its row goes.
    void unlist();
    /// The runner stops at once, and its row goes.
    void stop();
    [[nodiscard]] std::vector<arrival> arrivals() const;
    /// @return when the runner has crashed
    [[nodiscard]] std::vector<clock::time_point> crashes() const;
    /// @return when it has answered with a failure
    [[nodiscard]] std::vector<clock::time_point> failures() const;

  private:
    const runner_settings settings_;
    store& rows_;
    recorder& record_;
    mutable std::mutex mutex_;
    std::vector<arrival> arrivals_;
    std::vector<clock::time_point> crashes_;
    std::vector<clock::time_point> failures_;
    std::map<std::string, int> runs_;
    std::atomic<std::uint64_t> sequence_{1};
    std::atomic<int> answers_{0};
    std::atomic<std::uint64_t> born_ms_;
    std::unique_ptr<listener> listener_;

    void answer(connection& from, const message& request);
    void crash();
    void answer_report(connection& from);
    void answer_move(connection& from, const message& request);
    void answer_stream(connection& from, const message& request, const std::string& id);
    void answer_plain(connection& from, const std::string& id);
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    answer_fields(const std::string& id) const;
};

/// Addresses of one process under test.
struct addresses {
    endpoint entry;
    endpoint ready;
    endpoint directory;
    endpoint metrics;
    endpoint feed;
};

/// One process under test, started with the command of the deploy file.
class relay_process {
  public:
    /// @param folder temporary folder for settings and log
    relay_process(const std::string& name, const std::string& zone, const std::string& folder,
                  const std::string& store_address, const std::vector<std::string>& seeds,
                  const addresses& at);
    ~relay_process();
    relay_process(const relay_process&) = delete;
    relay_process& operator=(const relay_process&) = delete;

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const addresses& at() const { return at_; }
    void send_signal(int number) const;
    /// @return how it has ended, empty while it runs
    [[nodiscard]] std::optional<std::string> ended();
    /// @return true once its readiness check is answered with 200
    [[nodiscard]] bool is_ready() const;

  private:
    const std::string name_;
    const addresses at_;
    pid_t pid_ = -1;
    std::optional<std::string> ended_;
};

/// A small deployment: a store, engines and plain runners in three zones, and three processes.
class deployment {
  public:
    deployment(const std::string& folder, recorder& record, const runner_settings& engine,
               const runner_settings& plain, int timeout_ms);

    [[nodiscard]] bool start();
    /// Adds plain runners of another version beside the others.
    void add_services(const runner_settings& like);
    /// Ends the processes. The stand-ins last until this program ends, as their threads do.
    void stop() { processes_.clear(); }
    [[nodiscard]] store& rows() { return store_; }
    [[nodiscard]] std::vector<std::unique_ptr<runner>>& engines() { return engines_; }
    [[nodiscard]] std::vector<std::unique_ptr<runner>>& services() { return services_; }
    [[nodiscard]] std::vector<std::unique_ptr<relay_process>>& processes() { return processes_; }

  private:
    const std::string folder_;
    recorder& record_;
    const int timeout_ms_;
    store store_;
    std::vector<std::unique_ptr<runner>> engines_;
    std::vector<std::unique_ptr<runner>> services_;
    std::vector<std::unique_ptr<relay_process>> processes_;

    [[nodiscard]] std::string configuration() const;
};

/// @return head and body of a request as a client sends it
std::string encode_request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           const std::vector<std::pair<std::string, std::string>>& more,
                           std::string_view body);

/// @return fields of a request for an engine
std::vector<std::pair<std::string, std::string>> prompt_fields(const std::string& own_part);

} // namespace review
