#include "harness.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <fcntl.h>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using document = nlohmann::json;

constexpr std::array<const char*, 3> zones{"a", "b", "c"};
constexpr const char* key = "review-key";
constexpr const char* host = "review.example";

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

std::string encode_base64(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group <<= 8U;
            group |= i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool used = i + j <= bytes.size();
            text += used ? digits[(group >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return text;
}

std::string query_value(const std::string& path, const std::string& name)
{
    const std::size_t query = path.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::size_t at = path.find(name + "=", query);
    if (at == std::string::npos) {
        return {};
    }
    at += name.size() + 1;
    return path.substr(at, path.find('&', at) - at);
}

std::uint64_t now_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

/// @return addresses of a process, on a loopback address of its own, so that no other connection
/// has
///         one of its ports
addresses own_addresses(std::size_t index)
{
    constexpr unsigned part_values = 250;
    const auto number = static_cast<unsigned>(::getpid());
    const std::string ip = "127." + std::to_string(2 + number / part_values % part_values) + "." +
                           std::to_string(1 + number % part_values) + "." +
                           std::to_string(1 + index);
    return addresses{{ip, 8740}, {ip, 8749}, {ip, 8746}, {ip, 7200}, {ip, 8748}};
}

} // namespace

recorder::recorder(const std::string& path) : file_{std::fopen(path.c_str(), "w")} {}

recorder::~recorder()
{
    std::fclose(file_);
}

void recorder::add(const std::string& line)
{
    const std::lock_guard guard{mutex_};
    const double seconds = std::chrono::duration<double>(clock::now() - begin_).count();
    std::string text;
    for (const char each : line) {
        const auto byte = static_cast<unsigned char>(each);
        std::array<char, 8> escaped{};
        std::snprintf(escaped.data(), escaped.size(), "\\x%02x", byte);
        text += byte < ' ' || byte > '~' ? std::string{escaped.data()} : std::string{each};
    }
    std::fprintf(file_, "%9.3f %s\n", seconds, text.c_str());
    std::fflush(file_);
}

std::string message::field(std::string_view name) const
{
    for (const auto& [each, value] : fields) {
        if (each == name) {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::path() const
{
    const std::size_t begin = first_line.find(' ');
    const std::size_t end = first_line.find(' ', begin + 1);
    return begin == std::string::npos ? "" : first_line.substr(begin + 1, end - begin - 1);
}

int message::status() const
{
    return first_line.starts_with("HTTP/1.1 ") ? std::atoi(first_line.c_str() + 9) : 0;
}

std::unique_ptr<connection> connection::open(const endpoint& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = loopback(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<connection>(descriptor);
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void connection::set_read_limit(std::chrono::milliseconds limit) const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    const timeval time{seconds.count(), static_cast<suseconds_t>((limit - seconds).count() * 1000)};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool connection::fill()
{
    std::array<char, 65536> bytes{};
    const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> connection::read_line()
{
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        end = buffer_.find("\r\n");
    }
    std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

std::optional<message> connection::read_head()
{
    const auto first = read_line();
    if (!first.has_value()) {
        return std::nullopt;
    }
    message head{*first, {}, {}};
    while (true) {
        const auto line = read_line();
        if (!line.has_value()) {
            return std::nullopt;
        }
        if (line->empty()) {
            return head;
        }
        const std::size_t colon = line->find(':');
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        head.fields.emplace_back(to_lower(line->substr(0, colon)),
                                 value == std::string::npos ? "" : line->substr(value));
    }
}

bool connection::read_body(message& into)
{
    if (into.field("transfer-encoding") == "chunked") {
        while (true) {
            const auto line = read_line();
            if (!line.has_value()) {
                return false;
            }
            const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
            while (buffer_.size() < size + 2) {
                if (!fill()) {
                    return false;
                }
            }
            into.body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t size = std::strtoul(into.field("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!fill()) {
            return false;
        }
    }
    into.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
}

std::optional<message> connection::read_message()
{
    auto read = read_head();
    if (!read.has_value() || !read_body(*read)) {
        return std::nullopt;
    }
    return read;
}

bool connection::is_closed() const
{
    char byte = 0;
    const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

std::string encode_response(int status,
                            const std::vector<std::pair<std::string, std::string>>& fields,
                            std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

listener::listener(handler on_request) : on_request_{std::move(on_request)}
{
    listen();
}

void listener::listen()
{
    constexpr int backlog = 512;
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in own = loopback(port_);
    if (::bind(opened, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0) {
        std::perror("bind");
    }
    ::listen(opened, backlog);
    port_ = port_of(opened);
    descriptor_ = opened;
    std::thread{[this, opened] { accept_all(opened); }}.detach();
}

void listener::accept_all(int descriptor)
{
    while (true) {
        const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            ::close(descriptor);
            return;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard guard{mutex_};
            accepted_.insert(accepted);
        }
        std::thread{[this, accepted] {
            connection from{accepted};
            auto request = from.read_message();
            while (request.has_value()) {
                on_request_(from, *request);
                const bool last = request->field("connection") == "close";
                request = last ? std::nullopt : from.read_message();
            }
            const std::lock_guard guard{mutex_};
            accepted_.erase(accepted);
            from.close();
        }}.detach();
    }
}

void listener::crash()
{
    // Wakes the thread that accepts.
    ::shutdown(descriptor_, SHUT_RDWR);
    const std::lock_guard guard{mutex_};
    for (const int each : accepted_) {
        const linger reset{1, 0};
        ::setsockopt(each, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(each, SHUT_RD);
    }
}

void listener::resume()
{
    listen();
}

store::store()
    : listener_{std::make_unique<listener>(
          [this](connection& from, const message& request) { answer(from, request); })}
{
}

void store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard guard{mutex_};
    ++version_;
    write(table, key, encode_base64(value), false);
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard guard{mutex_};
    ++version_;
    write(table, key, {}, true);
}

std::string store::value(const std::string& table, const std::string& key)
{
    const std::lock_guard guard{mutex_};
    const auto found = tables_[table].find(key);
    return found == tables_[table].end() || found->second.removed ? "" : found->second.value;
}

void store::write(const std::string& table, const std::string& key, std::string value, bool removed)
{
    tables_[table].insert_or_assign(key, row{std::move(value), version_, removed});
    changed_.notify_all();
}

std::string store::encode_rows(const std::string& table, std::uint64_t after,
                               const std::string& from, bool with_removed)
{
    document rows = document::array();
    for (const auto& [name, each] : tables_[table]) {
        if (each.version <= after || name < from || (each.removed && !with_removed)) {
            continue;
        }
        document listed{
            {"table", table}, {"part", ""}, {"key", name}, {"schema_version", each.version}};
        if (each.removed) {
            listed["deleted"] = true;
        }
        else {
            listed["value"] = each.value;
        }
        rows.push_back(listed);
    }
    std::sort(rows.begin(), rows.end(), [&](const document& left, const document& right) {
        return with_removed && left["schema_version"] < right["schema_version"];
    });
    return document{
        {"rows", rows}, {"schema_version", version_}, {"now_ms", now_ms()}, {"has_more", false}}
        .dump();
}

std::string store::read_rows(const std::string& path)
{
    const std::lock_guard guard{mutex_};
    return encode_rows(query_value(path, "table"), 0, query_value(path, "from"), false);
}

std::string store::feed_rows(const std::string& path)
{
    const std::string table = query_value(path, "table");
    const std::uint64_t after = std::strtoull(query_value(path, "after").c_str(), nullptr, 10);
    const std::chrono::milliseconds wait{std::atol(query_value(path, "wait_ms").c_str())};
    std::unique_lock guard{mutex_};
    changed_.wait_for(guard, wait, [&] {
        const auto& rows = tables_[table];
        return std::any_of(rows.begin(), rows.end(),
                           [&](const auto& each) { return each.second.version > after; });
    });
    return encode_rows(table, after, {}, true);
}

std::pair<int, std::string> store::transact(const std::string& body)
{
    const document change = document::parse(body);
    const std::lock_guard guard{mutex_};
    const auto text = [](const document& row, const char* name) {
        return row.value(name, std::string{});
    };
    for (const document& each : change.value("expected_revision", document::array())) {
        const auto& rows = tables_[text(each, "table")];
        const auto found = rows.find(text(each, "key"));
        const std::uint64_t version =
            found == rows.end() || found->second.removed ? 0 : found->second.version;
        if (version != each.value("schema_version", std::uint64_t{0})) {
            return {412, R"({"rows":[]})"};
        }
    }
    ++version_;
    for (const document& each : change.value("put", document::array())) {
        write(text(each, "table"), text(each, "key"), text(each, "value"), false);
    }
    for (const document& each : change.value("remove", document::array())) {
        write(text(each, "table"), text(each, "key"), {}, true);
    }
    return {200, document{{"schema_version", version_}, {"now_ms", now_ms()}}.dump()};
}

void store::answer(connection& from, const message& request)
{
    std::pair<int, std::string> answered{404, "{}"};
    if (request.path().starts_with("/rows-get")) {
        answered = {200, read_rows(request.path())};
    }
    else if (request.path().starts_with("/rows-feed")) {
        answered = {200, feed_rows(request.path())};
    }
    else if (request.path().starts_with("/rows-tx")) {
        answered = transact(request.body);
    }
    from.send(
        encode_response(answered.first, {{"Content-Type", "application/json"}}, answered.second));
}

runner::runner(runner_settings settings, store& rows, recorder& record)
    : settings_{std::move(settings)}, rows_{rows}, record_{record}, born_ms_{now_ms()},
      listener_{std::make_unique<listener>(
          [this](connection& from, const message& request) { answer(from, request); })}
{
}

void runner::list(const std::string& state)
{
    rows_.put("servers", settings_.name,
              document{{"backend", settings_.service},
                       {"address", address()},
                       {"zone", settings_.zone},
                       {"version", settings_.version},
                       {"slots", 64},
                       {"state", state},
                       {"cold_left_ms", 0},
                       {"sequence", sequence_++},
                       {"born", born_ms_.load()}}
                  .dump());
    record_.add("runner " + settings_.name + " is listed as " + state);
}

void runner::unlist()
{
    rows_.remove("servers", settings_.name);
    record_.add("runner " + settings_.name + " is no longer listed");
}

void runner::stop()
{
    unlist();
    listener_->crash();
}

std::vector<arrival> runner::arrivals() const
{
    const std::lock_guard guard{mutex_};
    return arrivals_;
}

std::vector<std::pair<std::string, std::string>> runner::answer_fields(const std::string& id) const
{
    return {{"X-Cyclamencourse-Request-Id", id},
            {"X-Cyclamencourse-Response-Seal", "seal." + settings_.name}};
}

void runner::answer(connection& from, const message& request)
{
    const std::string path = request.path();
    if (path == "/report") {
        answer_report(from);
        return;
    }
    if (path == "/healthz") {
        from.send(encode_response(200, {{"X-Cyclamencourse-Instance-Id", settings_.name}}, ""));
        return;
    }
    if (path == "/kv-move") {
        answer_move(from, request);
        return;
    }
    if (path.starts_with("/kv-handle/")) {
        from.send(encode_response(200, {}, ""));
        return;
    }
    const std::string id = request.field("x-cyclamencourse-request-id");
    if (request.field("x-cyclamencourse-expect-instance") != settings_.name) {
        from.send(encode_response(421, {{"X-Cyclamencourse-Not-Executed", "1"}}, ""));
        return;
    }
    {
        const std::lock_guard guard{mutex_};
        arrivals_.push_back(arrival{settings_.name, id, request, clock::now()});
    }
    record_.add("runner " + settings_.name + " begins request " + id + " " + request.first_line);
    if (!settings_.deadly_body.empty() &&
        request.body.find(settings_.deadly_body) != std::string::npos) {
        crash();
        return;
    }
    if (settings_.is_engine) {
        answer_stream(from, request, id);
    }
    else {
        answer_plain(from, id);
    }
}

std::vector<clock::time_point> runner::crashes() const
{
    const std::lock_guard guard{mutex_};
    return crashes_;
}

std::vector<clock::time_point> runner::failures() const
{
    const std::lock_guard guard{mutex_};
    return failures_;
}

void runner::crash()
{
    record_.add("runner " + settings_.name + " has crashed");
    {
        const std::lock_guard guard{mutex_};
        crashes_.push_back(clock::now());
    }
    listener_->crash();
    std::thread{[this] {
        std::this_thread::sleep_for(settings_.down_time);
        born_ms_ = now_ms();
        sequence_ = 1;
        listener_->resume();
        list("ready");
    }}.detach();
}

void runner::answer_report(connection& from)
{
    document runs = document::array();
    {
        const std::lock_guard guard{mutex_};
        for (const auto& [id, events] : runs_) {
            const bool is_ascii = std::all_of(id.begin(), id.end(),
                                              [](char each) { return each > ' ' && each < 127; });
            runs.push_back({is_ascii ? id : "other", 5000, events, 5});
        }
    }
    from.send(encode_response(200, {{"Content-Type", "application/json"}},
                              document{{"stage", "both"},
                                       {"models", {{{"name", "m"}, {"version", 1}}}},
                                       {"busy", false},
                                       {"sequence", 0},
                                       {"queued", 0},
                                       {"running", runs.size()},
                                       {"kv_used", 5000 * runs.size()},
                                       {"kv_total", 1000000},
                                       {"handles", 0},
                                       {"state", "ready"},
                                       {"born", born_ms_.load()},
                                       {"runs", runs}}
                                  .dump()));
}

void runner::answer_move(connection& from, const message& request)
{
    const document order = document::parse(request.body, nullptr, false);
    const std::string id = order.is_object() ? order.value("id", std::string{}) : std::string{};
    int events = -1;
    {
        const std::lock_guard guard{mutex_};
        const auto found = runs_.find(id);
        events = found == runs_.end() ? -1 : found->second;
    }
    record_.add("runner " + settings_.name + " is asked to copy the run " + id);
    if (events < 0) {
        from.send(encode_response(404, {}, ""));
        return;
    }
    from.send(encode_response(200, {{"Content-Type", "application/json"}},
                              document{{"handle", "h-" + id}, {"created", events}}.dump()));
}

void runner::answer_stream(connection& from, const message& request, const std::string& id)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : answer_fields(id)) {
        head += name + ": " + value + "\r\n";
    }
    head += "\r\n";
    bool sent = !settings_.sends_head_first || from.send(head);
    std::this_thread::sleep_for(settings_.work_time);
    if (!sent || from.is_closed()) {
        record_.add("runner " + settings_.name + " lost the sender of " + id);
        return;
    }
    if (!settings_.deadly_part.empty() &&
        request.field("x-cyclamencourse-prompt-prefix").find(settings_.deadly_part) !=
            std::string::npos) {
        crash();
        return;
    }
    sent = settings_.sends_head_first || from.send(head);
    int next = std::atoi(request.field("last-event-id").c_str()) + 1;
    for (; sent && next <= settings_.events; ++next) {
        {
            const std::lock_guard guard{mutex_};
            runs_[id] = next;
        }
        const std::string event =
            "id: " + std::to_string(next) + "\ndata: piece " + std::to_string(next) + "\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        sent = from.send(size.data() + event + "\r\n");
        std::this_thread::sleep_for(settings_.event_gap);
        sent = sent && !from.is_closed();
    }
    const bool whole = sent && from.send("0\r\n\r\n");
    {
        const std::lock_guard guard{mutex_};
        runs_.erase(id);
    }
    record_.add("runner " + settings_.name +
                (whole ? " has ended request " : " lost the sender of ") + id + " after event " +
                std::to_string(next - 1));
}

void runner::answer_plain(connection& from, const std::string& id)
{
    constexpr int bad_each = 4;
    std::this_thread::sleep_for(settings_.work_time);
    const bool is_bad = settings_.bad_from.has_value() && clock::now() >= *settings_.bad_from &&
                        ++answers_ % bad_each == 0;
    if (is_bad) {
        const std::lock_guard guard{mutex_};
        failures_.push_back(clock::now());
    }
    const bool sent = from.send(encode_response(is_bad ? 500 : 200, answer_fields(id),
                                                (is_bad ? "failed " : "done ") + id));
    record_.add("runner " + settings_.name +
                (!sent    ? " could not answer "
                 : is_bad ? " has failed "
                          : " has answered ") +
                id);
}

relay_process::relay_process(const std::string& name, const std::string& zone,
                             const std::string& folder, const std::string& store_address,
                             const std::vector<std::string>& seeds, const addresses& at)
    : name_{name}, at_{at}
{
    // The deploy file's template, filled in for a machine of the site lantern-obits.
    const std::string path = folder + "/" + name + ".json";
    std::ofstream{path} << document{{"name", name},
                                    {"failure_domain", zone},
                                    {"cores", 0.17},
                                    {"seeds", seeds},
                                    {"listen",
                                     {{"entry", at.entry.text()},
                                      {"ready", at.ready.text()},
                                      {"feed", at.feed.text()},
                                      {"directory", at.directory.text()},
                                      {"metrics", at.metrics.text()}}},
                                    {"store", {{"address", store_address}}},
                                    {"retries", {{"ratio", 0.8}, {"slack", 300}, {"window_s", 10}}},
                                    {"rollouts", {{"exposure_ratio", 0.1}, {"exposure_slack", 50}}},
                                    {"limits",
                                     {{"leave_s", 8},
                                      {"target_drain_ms", 2000},
                                      {"configuration_ms", 2000},
                                      {"directory_keep_s", 5},
                                      {"memory_mb", 182},
                                      {"max_descriptors", 2870}}}}
                               .dump(2);
    const std::string log = folder + "/" + name + ".log";
    pid_ = ::fork();
    if (pid_ == 0) {
        // It ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const rlimit no_core{0, 0};
        ::setrlimit(RLIMIT_CORE, &no_core);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("CYCLAMENCOURSE_SETTINGS", path.c_str(), 1);
        ::execl("target/cyclamencourse", "target/cyclamencourse", "relay", nullptr);
        ::_exit(127);
    }
}

relay_process::~relay_process()
{
    if (pid_ > 0 && !ended().has_value()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void relay_process::send_signal(int number) const
{
    ::kill(pid_, number);
}

std::optional<std::string> relay_process::ended()
{
    int status = 0;
    if (!ended_.has_value() && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        ended_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                     : "status " + std::to_string(WEXITSTATUS(status));
    }
    return ended_;
}

bool relay_process::is_ready() const
{
    const auto opened = connection::open(at_.ready);
    if (opened == nullptr) {
        return false;
    }
    opened->set_read_limit(std::chrono::seconds{1});
    opened->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = opened->read_message();
    return answer.has_value() && answer->status() == 200;
}

deployment::deployment(const std::string& folder, recorder& record, const runner_settings& engine,
                       const runner_settings& plain, int timeout_ms)
    : folder_{folder}, record_{record}, timeout_ms_{timeout_ms}
{
    const auto add = [&](const runner_settings& like, const char* service, const char* name,
                         std::size_t count, std::vector<std::unique_ptr<runner>>& to) {
        for (std::size_t i = 0; i < count; ++i) {
            runner_settings own = like;
            own.name = name + std::to_string(i);
            own.service = service;
            own.zone = zones.at(i % zones.size());
            own.is_engine = &to == &engines_;
            to.push_back(std::make_unique<runner>(own, store_, record_));
        }
    };
    add(engine, "drafting", "engine-", 6, engines_);
    add(plain, "desk", "desk-", 3, services_);
}

void deployment::add_services(const runner_settings& like)
{
    for (std::size_t i = 0; i < zones.size(); ++i) {
        runner_settings own = like;
        own.name = "desk-" + like.version + "-" + std::to_string(i);
        own.service = "desk";
        own.zone = zones.at(i);
        services_.push_back(std::make_unique<runner>(own, store_, record_));
        services_.back()->list("ready");
    }
}

std::string deployment::configuration() const
{
    const auto route = [&](const char* name, const char* prefix, const char* kind,
                           const char* service, int attempts, int timeout_ms, int goal_ms) {
        const bool streams = std::string_view{kind} == "streaming";
        return document{{"name", name},
                        {"host", host},
                        {"prefix", prefix},
                        {"kind", kind},
                        {"timeout_ms", timeout_ms},
                        {"goal_ms", goal_ms},
                        {"priority", streams ? 1 : 2},
                        {"backend", service},
                        {"attempts", attempts},
                        {"public", false},
                        {"sticky", streams},
                        {"resumable", streams},
                        {"gap_target_ms", streams ? 700 : 0}};
    };
    return document{{"version", 7},
                    {"routes",
                     {route("r-draft", "/draft/", "streaming", "drafting", 5, 25000, 4500),
                      route("r-file", "/file/", "unsafe", "desk", 1, timeout_ms_, 300),
                      route("r-status", "/status/", "safe", "desk", 2, timeout_ms_, 300)}},
                    {"backends",
                     {{{"name", "drafting"},
                       {"health_path", "/healthz"},
                       {"max_conns", 720},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"engine",
                        {{"slots", 64},
                         {"kv_capacity_tokens", 55000},
                         {"kv_token_bytes", 163840},
                         {"link_mbps", 550000.0},
                         {"moves", true},
                         {"backups", true},
                         {"stride", 6},
                         {"most", 12},
                         {"pin_ms", 4000.0},
                         {"hold_ms", 2000.0},
                         {"handle_s", 4.0},
                         {"models", {{{"name", "m"}}}}}}},
                      {{"name", "desk"},
                       {"health_path", "/healthz"},
                       {"max_conns", 192},
                       {"protocol", "h1"},
                       {"tls", false}}}},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}},
                    {"tenants", {{{"name", "reviewer"}, {"api_keys", {key}}, {"priority", 1}}}}}
        .dump();
}

bool deployment::start()
{
    store_.put("op", "config", configuration());
    for (const auto& each : engines_) {
        each->list("ready");
    }
    for (const auto& each : services_) {
        each->list("ready");
    }
    std::vector<addresses> all;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        all.push_back(own_addresses(i));
        seeds.push_back(all.back().feed.text());
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        processes_.push_back(std::make_unique<relay_process>(
            "edge-" + std::to_string(i), zones.at(i), folder_, store_.address(), seeds, all[i]));
    }
    const auto limit = clock::now() + std::chrono::seconds{15};
    const auto all_ready = [&] {
        return std::all_of(processes_.begin(), processes_.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    bool ready = false;
    while (!ready && clock::now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        ready = all_ready();
    }
    // The processes learn of each other.
    std::this_thread::sleep_for(std::chrono::seconds{2});
    record_.add(ready ? "all processes are ready" : "the processes did not become ready");
    return ready;
}

std::string encode_request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           const std::vector<std::pair<std::string, std::string>>& more,
                           std::string_view body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Cyclamencourse-Request-Id: " + id +
                       "\r\nX-Cyclamencourse-Deadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\nApi-Key: " + key + "\r\n";
    for (const auto& [name, value] : more) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n";
    text += body;
    return text;
}

std::vector<std::pair<std::string, std::string>> prompt_fields(const std::string& own_part)
{
    return {{"X-Cyclamencourse-Model", "m"},
            {"X-Cyclamencourse-Token-Counts", "1460,80"},
            {"X-Cyclamencourse-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," + own_part + ":250"}};
}

} // namespace review
