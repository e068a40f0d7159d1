#pragma once

/// @file
/// @brief Small stand-ins for the cases of the second review: the platform's store, workers, clients, and the
/// start of the entry processes. Loopback addresses only; every wait is bounded.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline clock::time_point& started()
{
    static clock::time_point at = clock::now();
    return at;
}

/// Milliseconds since the case began.
inline long now_ms()
{
    return static_cast<long>(std::chrono::duration_cast<milliseconds>(clock::now() - started()).count());
}

inline void sleep_ms(long length)
{
    std::this_thread::sleep_for(milliseconds{std::max(0L, length)});
}

inline void sleep_until(long at)
{
    sleep_ms(at - now_ms());
}

/// Whether the disruptions are brought about.
inline bool trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

/// @brief The record of a case: one line for each thing that was sent, answered or run.
class record
{
public:
    explicit record(const std::string& path) : file(path, std::ios::trunc) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << now_ms() << " ms  " << text << '\n';
    }

    void flush()
    {
        const std::lock_guard lock(this->mutex);
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

// ---------------------------------------------------------------------------------------------- sockets

inline sockaddr_in to_address(const std::string& host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/// @returns A listening socket; -1 if the address is in use. A port of zero is replaced by the one taken.
inline int listen_on(const std::string& host, int& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = to_address(host, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

inline int connect_to(const std::string& host, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = to_address(host, port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool write_all(int fd, std::string_view text)
{
    while (!text.empty()) {
        const auto sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Waits for bytes. @returns False at the limit.
inline bool wait_readable(int fd, long limit_ms)
{
    pollfd each{.fd = fd, .events = POLLIN, .revents = 0};
    return ::poll(&each, 1, static_cast<int>(std::max(0L, limit_ms))) > 0;
}

/// Closes with a reset.
inline void reset(int fd)
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

// ------------------------------------------------------------------------------------------------- HTTP

struct message {
    std::string start;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string{} : found->second;
    }
    [[nodiscard]] std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto from = this->start.find(' ') + 1;
        return this->start.substr(from, this->start.find(' ', from) - from);
    }
    [[nodiscard]] int status() const
    {
        return this->start.size() > 11 ? std::atoi(this->start.substr(9, 3).c_str()) : 0;
    }
};

/// @brief Bytes received on a connection and not yet used.
struct reader {
    int fd = -1;
    std::string buffer{};
    bool ended = false;

    /// Reads more bytes. @returns False at the end, after an error, or at the limit.
    bool more(long limit_ms)
    {
        if (!wait_readable(this->fd, limit_ms)) {
            return false;
        }
        char bytes[8192];
        const auto got = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            this->ended = true;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
};

/// Reads the head of a message.
inline std::optional<message> read_head(reader& from, long limit_ms)
{
    const auto until = now_ms() + limit_ms;
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.more(until - now_ms())) {
            return std::nullopt;
        }
    }
    message read;
    std::istringstream lines{from.buffer.substr(0, end)};
    from.buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        if (read.start.empty()) {
            read.start = line;
            continue;
        }
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char each) {
            return static_cast<char>(std::tolower(each));
        });
        auto value = colon == std::string::npos ? std::string{} : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        read.fields.insert_or_assign(name, value);
    }
    return read;
}

/// Reads a message whose body has a length.
inline std::optional<message> read_message(reader& from, long limit_ms)
{
    const auto until = now_ms() + limit_ms;
    auto read = read_head(from, limit_ms);
    if (!read) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(std::atol(read->field("content-length").c_str()));
    while (from.buffer.size() < length) {
        if (!from.more(until - now_ms())) {
            return std::nullopt;
        }
    }
    read->body = from.buffer.substr(0, length);
    from.buffer.erase(0, length);
    return read;
}

inline std::string answer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& text)
{
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

/// @brief A server with a thread for each connection.
class server
{
public:
    using handler = std::function<void(int fd, reader& from)>;

    server(std::string address, handler serve, int wanted_port = 0)
        : host(std::move(address)), port_number(wanted_port), call(std::move(serve))
    {
        this->open();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server() { this->stop(); }

    [[nodiscard]] int port() const { return this->port_number; }
    [[nodiscard]] std::string address() const { return this->host + ":" + std::to_string(this->port_number); }
    [[nodiscard]] bool stopped() const { return this->stopping; }

    /// Listens again at the same address after @c stop.
    void open()
    {
        this->stopping = false;
        this->listener = listen_on(this->host, this->port_number);
        if (this->listener < 0) {
            std::fprintf(stderr, "cannot listen on %s\n", this->address().c_str());
            std::_Exit(2);
        }
        this->accepting = std::thread{[this] { this->accept_all(); }};
    }

    /// Closes the listener and resets all connections, as a process does that is killed.
    void stop()
    {
        if (this->stopping.exchange(true)) {
            return;
        }
        ::shutdown(this->listener, SHUT_RDWR);
        this->accepting.join();
        ::close(this->listener);
        {
            const std::lock_guard lock(this->mutex);
            for (const int fd : this->open_sockets) {
                const linger now{.l_onoff = 1, .l_linger = 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                ::shutdown(fd, SHUT_RD);
            }
        }
        const auto until = clock::now() + std::chrono::seconds{5};
        while (this->active > 0 && clock::now() < until) {
            sleep_ms(2);
        }
    }

private:
    void accept_all()
    {
        while (!this->stopping) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++this->active;
            {
                const std::lock_guard lock(this->mutex);
                this->open_sockets.insert(fd);
            }
            std::thread{[this, fd] {
                reader from{.fd = fd};
                this->call(fd, from);
                {
                    const std::lock_guard lock(this->mutex);
                    this->open_sockets.erase(fd);
                }
                ::close(fd);
                --this->active;
            }}.detach();
        }
    }

    std::string host;
    int port_number;
    handler call;
    int listener = -1;
    std::mutex mutex;
    std::set<int> open_sockets;
    std::atomic<int> active{0};
    std::atomic<bool> stopping{true};
    std::thread accepting;
};

// ------------------------------------------------------------------------------------------------ store

inline std::string to_base64(const std::string& bytes)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i) {
            group = (group << 8U) | (i < count ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text += i <= count ? digits[(group >> (18U - 6U * i)) & 63U] : '=';
        }
    }
    return text;
}

inline std::string from_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char each : text) {
        const std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const auto value = digits.find(each);
        if (value == std::string_view::npos) {
            break;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return bytes;
}

/// @brief The platform's store, with the form "kv". Answers after 4 ms.
class store
{
public:
    /// What becomes of a write.
    struct fate {
        bool answered = true;
        long done_after_ms = 0; ///< Only for one that is not answered.
    };
    using judge = std::function<fate(const json& change)>;

    explicit store(const std::string& host = "127.0.0.1")
        : listener(host, [this](int fd, reader& from) { this->serve(fd, from, false); }),
          second_listener(host, [this](int fd, reader& from) { this->serve(fd, from, true); })
    {
    }
    ~store()
    {
        this->closing = true;
        if (this->heartbeats.joinable()) {
            this->heartbeats.join();
        }
        this->listener.stop();
        this->second_listener.stop();
        while (this->late_writes > 0) {
            sleep_ms(5);
        }
    }

    [[nodiscard]] std::string address() const { return this->listener.address(); }

    /// A second address of the store, for the machine that is cut off from it.
    [[nodiscard]] std::string second_address() const { return this->second_listener.address(); }

    /// Cuts off the machine that uses the second address, silently, until it is set back.
    void cut_second(bool value) { this->second_cut = value; }

    /// Sets what decides on the fate of writes of the system; none for "all are done and answered".
    void set_judge(judge decides)
    {
        const std::lock_guard lock(this->mutex);
        this->decide = std::move(decides);
    }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        ++this->revision;
        this->set(key, value, 0);
    }

    /// Enters a worker, which writes its entry again at each heartbeat from now on.
    void announce(const std::string& key, const std::string& entry)
    {
        this->put(key, entry);
        const std::lock_guard lock(this->mutex);
        this->live[key] = json::parse(entry);
        if (!this->heartbeats.joinable()) {
            this->heartbeats = std::thread{[this] { this->beat(); }};
        }
    }

    /// The worker writes no more. Its entry is removed after three heartbeats of silence.
    void silence(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        this->live.erase(key);
        this->removed_at[key] = now_ms() + 3 * heartbeat_ms;
    }

    /// Takes a copy of all that the store holds.
    void take_copy()
    {
        const std::lock_guard lock(this->mutex);
        this->kept = {this->items, this->leases, this->revision};
    }

    /// Comes back from the copy: what was written since is gone, and the era rises.
    void restore()
    {
        const std::lock_guard lock(this->mutex);
        this->items = this->kept.items;
        this->leases = this->kept.leases;
        this->revision = this->kept.revision;
        this->history.clear();
        this->oldest = this->revision;
        ++this->era;
    }

    /// Resets the connections of all callers while it is set.
    void set_away(bool value) { this->away = value; }

    /// Called for each write that was done, with what was known of it.
    std::function<void(const json& change, bool late)> on_write;

private:
    static constexpr long heartbeat_ms = 1200;

    void beat()
    {
        long next = now_ms() + heartbeat_ms;
        while (!this->closing) {
            sleep_ms(20);
            const std::lock_guard lock(this->mutex);
            for (const auto& [key, at] : this->removed_at) {
                if (at <= now_ms() && !this->live.contains(key) && this->items.contains(key)) {
                    ++this->revision;
                    this->erase(key);
                }
            }
            if (now_ms() < next) {
                continue;
            }
            next += heartbeat_ms;
            for (auto& [key, entry] : this->live) {
                entry["sequence"] = entry["sequence"].get<int>() + 1;
                ++this->revision;
                this->set(key, entry.dump(), 0);
            }
        }
    }

    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value;
    };
    struct lease {
        milliseconds length{};
        clock::time_point end;
    };

    void set(const std::string& key, const std::string& value, std::uint64_t under)
    {
        auto& stored = this->items[key];
        stored.created = stored.created == 0 ? this->revision : stored.created;
        stored.value = value;
        stored.revision = this->revision;
        stored.lease = under;
        this->history.push_back({key, this->revision, value});
    }

    void erase(const std::string& key)
    {
        if (this->items.erase(key) > 0) {
            this->history.push_back({key, this->revision, std::nullopt});
        }
    }

    void end_leases()
    {
        const auto now = clock::now();
        for (auto each = this->leases.begin(); each != this->leases.end();) {
            if (each->second.end > now) {
                ++each;
                continue;
            }
            ++this->revision;
            std::vector<std::string> gone;
            for (const auto& [key, stored] : this->items) {
                if (stored.lease == each->first) {
                    gone.push_back(key);
                }
            }
            for (const auto& key : gone) {
                this->erase(key);
            }
            each = this->leases.erase(each);
        }
    }

    json describe(const std::string& key) const
    {
        const auto& stored = this->items.at(key);
        return {{"key", key},
                {"value", to_base64(stored.value)},
                {"revision", stored.revision},
                {"created-rev", stored.created},
                {"lease", stored.lease}};
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 1;
        const auto text = target.substr(begin, target.find('&', begin) - begin);
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }

    std::pair<int, json> change(const json& wanted, bool late)
    {
        const std::lock_guard lock(this->mutex);
        this->end_leases();
        json current = json::array();
        bool holds = true;
        for (const auto& each : wanted.at("expected-rev")) {
            const auto key = each.at("key").get<std::string>();
            const auto found = this->items.find(key);
            const auto known = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && known == each.at("revision").get<std::uint64_t>();
            if (found != this->items.end()) {
                current.push_back(this->describe(key));
            }
        }
        if (!holds) {
            return {412, {{"items", current}}};
        }
        for (const auto& each : wanted.at("set-keys")) {
            const auto under = each.at("lease").get<std::uint64_t>();
            if (under != 0 && !this->leases.contains(under)) {
                return {404, json::object()};
            }
        }
        ++this->revision;
        for (const auto& each : wanted.at("set-keys")) {
            this->set(each.at("key").get<std::string>(),
                      from_base64(each.at("value").get<std::string>()),
                      each.at("lease").get<std::uint64_t>());
        }
        for (const auto& each : wanted.at("remove")) {
            this->erase(each.get<std::string>());
        }
        if (this->on_write) {
            this->on_write(wanted, late);
        }
        return {200, {{"revision", this->revision}}};
    }

    std::pair<int, json> watch(const std::string& prefix, std::uint64_t after, long wait_ms)
    {
        const auto until = now_ms() + wait_ms;
        while (true) {
            {
                const std::lock_guard lock(this->mutex);
                this->end_leases();
                if (after > this->revision || after < this->oldest) {
                    return {410, json::object()};
                }
                json events = json::array();
                for (const auto& each : this->history) {
                    if (each.revision <= after || !each.key.starts_with(prefix)) {
                        continue;
                    }
                    json shown{{"key", each.key}, {"revision", each.revision}};
                    if (each.value) {
                        shown["value"] = to_base64(*each.value);
                    } else {
                        shown["deleted"] = true;
                    }
                    events.push_back(std::move(shown));
                }
                if (!events.empty() || now_ms() >= until || this->closing) {
                    return {200, {{"events", events}, {"as-of", this->revision}}};
                }
            }
            sleep_ms(2);
        }
    }

    std::pair<int, json> handle(const message& call)
    {
        const auto target = call.target();
        const auto path = target.substr(0, target.find('?'));
        const auto prefix = parameter(target, "path-prefix");
        if (path == "/api/kv-watch") {
            return this->watch(prefix,
                               std::strtoull(parameter(target, "after").c_str(), nullptr, 10),
                               std::atol(parameter(target, "wait-ms").c_str()));
        }
        const std::lock_guard lock(this->mutex);
        this->end_leases();
        if (path == "/api/kv-key") {
            const auto key = parameter(target, "key");
            if (!this->items.contains(key)) {
                return {404, json::object()};
            }
            auto found = this->describe(key);
            found["as-of"] = this->revision;
            return {200, found};
        }
        if (path == "/api/kv-range") {
            json page = json::array();
            const auto after = parameter(target, "after");
            for (const auto& [key, stored] : this->items) {
                if (key.starts_with(prefix) && key > after) {
                    page.push_back(this->describe(key));
                }
            }
            return {200, {{"items", page}, {"has-more", false}, {"as-of", this->revision}}};
        }
        if (path == "/api/kv-lease") {
            const milliseconds length{json::parse(call.body).at("ttl-ms").get<long>()};
            const auto id = ++this->last_lease;
            this->leases[id] = {length, clock::now() + length};
            return {200, {{"lease", id}, {"ttl-ms", length.count()}}};
        }
        if (path.starts_with("/api/kv-keep/")) {
            const auto found = this->leases.find(std::strtoull(path.c_str() + 13, nullptr, 10));
            if (found == this->leases.end()) {
                return {404, json::object()};
            }
            found->second.end = clock::now() + found->second.length;
            return {200, {{"ttl-ms", found->second.length.count()}}};
        }
        return {400, json::object()};
    }

    /// The connection is reset when it is closed.
    static void reset_later(int fd)
    {
        const linger now{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }

    /// Reads and answers nothing until the caller closes its connection.
    void drop_all(reader& from) const
    {
        while (!this->closing && !from.ended) {
            from.more(200);
        }
    }

    void serve(int fd, reader& from, bool second)
    {
        while (!this->closing) {
            const auto call = read_message(from, 60000);
            if (!call) {
                return;
            }
            sleep_ms(4);
            if (this->away) {
                reset_later(fd);
                return;
            }
            std::pair<int, json> result;
            if (second && this->second_cut) {
                this->drop_all(from); // the call does not arrive
                return;
            }
            if (call->target() == "/api/kv-txn") {
                const auto wanted = json::parse(call->body);
                judge decides;
                {
                    const std::lock_guard lock(this->mutex);
                    decides = this->decide;
                }
                const auto fate_of = decides ? decides(wanted) : fate{};
                if (!fate_of.answered) {
                    ++this->late_writes;
                    std::thread{[this, wanted, after = fate_of.done_after_ms] {
                        for (long waited = 0; waited < after && !this->closing; waited += 10) {
                            sleep_ms(10);
                        }
                        if (!this->closing) {
                            this->change(wanted, true);
                        }
                        --this->late_writes;
                    }}.detach();
                    this->drop_all(from); // a connection on which a response is lost returns nothing further
                    return;
                }
                result = this->change(wanted, false);
            } else {
                result = this->handle(*call);
            }
            if (second && this->second_cut) {
                this->drop_all(from); // the answer does not arrive
                return;
            }
            if (this->away) {
                reset_later(fd);
                return;
            }
            if (!write_all(fd,
                           answer(result.first,
                                  "Content-Type: application/json\r\nStore-Era: " +
                                      std::to_string(this->era) + "\r\n",
                                  result.second.dump()))) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<event> history;
    std::map<std::uint64_t, lease> leases;
    std::uint64_t revision = 100;
    std::uint64_t last_lease = 7000;
    struct {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease> leases;
        std::uint64_t revision = 0;
    } kept;
    std::map<std::string, json> live;       ///< Entries of workers that write them again.
    std::map<std::string, long> removed_at; ///< When the entry of a silent worker is removed.
    std::thread heartbeats;
    std::uint64_t oldest = 0; ///< A watch from before it gets 410.
    std::atomic<std::uint64_t> era{1};
    std::atomic<bool> away{false};
    judge decide;
    std::atomic<bool> closing{false};
    std::atomic<bool> second_cut{false};
    std::atomic<int> late_writes{0};
    server listener;
    server second_listener;
};

// -------------------------------------------------------------------------------------------- processes

/// @brief A folder that is removed in the end.
class folder
{
public:
    folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->path = ::mkdtemp(name.data());
    }
    ~folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;
    std::filesystem::path path;
};

/// Ports that all machines of a case share, as on the platform.
struct ports {
    int callers = 0;
    int ready = 0;
    int inner = 0;
};

/// Finds ports that are free on all addresses.
inline ports free_ports(const std::vector<std::string>& hosts)
{
    const auto find = [&] {
        for (int tries = 0; tries < 200; ++tries) {
            int port = 0;
            std::vector<int> open{listen_on(hosts.front(), port)};
            bool free = open.front() >= 0;
            for (std::size_t i = 1; i < hosts.size() && free; ++i) {
                int same = port;
                open.push_back(listen_on(hosts[i], same));
                free = open.back() >= 0;
            }
            for (const int fd : open) {
                ::close(fd);
            }
            if (free) {
                return port;
            }
        }
        std::_Exit(2);
    };
    ports found;
    found.callers = find();
    do {
        found.ready = find();
    } while (found.ready == found.callers);
    do {
        found.inner = find();
    } while (found.inner == found.callers || found.inner == found.ready);
    return found;
}

/// @brief Runs calls on one thread that lives as long as the process.
/// @remarks A child that dies with its parent dies with the thread that started it, so that all are started
/// here.
class starter
{
public:
    static void run(const std::function<void()>& call)
    {
        static auto* const only = new starter; // never destroyed, like its thread
        std::unique_lock turn(only->turns);
        std::unique_lock lock(only->mutex);
        only->call = &call;
        only->changed.notify_all();
        only->changed.wait(lock, [] { return only->call == nullptr; });
    }

private:
    starter()
    {
        std::thread{[this] {
            std::unique_lock lock(this->mutex);
            while (true) {
                this->changed.wait(lock, [this] { return this->call != nullptr; });
                (*this->call)();
                this->call = nullptr;
                this->changed.notify_all();
            }
        }}.detach();
    }

    std::mutex turns;
    std::mutex mutex;
    std::condition_variable changed;
    const std::function<void()>* call = nullptr;
};

/// @brief An entry process, started as the deploy file does: the program without arguments, and the settings
/// file of the template named by HIBISCUSFALL_BOOT.
class entry
{
public:
    entry(const folder& in,
          std::string instance,
          std::string zone,
          std::string address,
          const ports& at,
          const std::string& store,
          const std::vector<std::string>& seeds)
        : name(std::move(instance)), host(std::move(address)), where(at),
          settings((in.path / (this->name + ".ini")).string()),
          log((in.path / (this->name + ".log")).string())
    {
        std::string listed;
        for (const auto& each : seeds) {
            listed += (listed.empty() ? "" : ",") + each + ":" + std::to_string(at.ready + 1);
        }
        // As the template deploy/entry.ini renders it.
        std::ofstream{this->settings}
            << "[instance]\nid = " << this->name << "\nfailure_domain = " << zone
            << "\ncapacity = 0.25\nmemory_mb = 260\ndescriptors = 4200\nregions = "
               "zone-a:region,zone-b:region\n"
            << "[listen]\ncallers = " << this->host << ':' << at.callers << "\nreadiness = " << this->host
            << ':' << at.ready << "\ninner = " << this->host << ':' << at.inner
            << "\n[peers]\nseeds = " << listed << "\n[store]\naddress = " << store
            << "\nwrites_per_s = 400\nreads_per_s = 2000\n"
            << "[configuration]\nbound_ms = 2000\n[repeats]\nratio = 0.2\nslack = 58\nwindow_s = 10\n"
            << "[cold_endpoints]\novershoot =\nslack =\n[shares]\nwindow_s = 4\n[shutdown]\nlimit_s = 8\n";
        this->start();
    }
    ~entry() { this->kill(SIGKILL); }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    void start()
    {
        starter::run([this] { this->start_process(); });
    }

    void start_process()
    {
        const auto boot = "HIBISCUSFALL_BOOT=" + this->settings;
        this->process = ::fork();
        if (this->process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the case
            const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string program = "target/bin/hibiscusfall-entry";
            char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
            char* const environment[] = {const_cast<char*>(boot.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            std::_Exit(127);
        }
    }

    void signal(int number) const
    {
        if (this->process > 0) {
            ::kill(this->process, number);
        }
    }

    /// Sends the signal and waits for the end of the process.
    void kill(int number)
    {
        if (this->process <= 0) {
            return;
        }
        ::kill(this->process, number);
        int status = 0;
        ::waitpid(this->process, &status, 0);
        this->process = -1;
    }

    /// @returns How the process has ended by itself; nothing while it runs.
    std::optional<int> ended()
    {
        int status = 0;
        if (this->process > 0 && ::waitpid(this->process, &status, WNOHANG) == this->process) {
            this->process = -1;
            return status;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool ready() const
    {
        const int fd = connect_to(this->host, this->where.ready);
        if (fd < 0) {
            return false;
        }
        reader from{.fd = fd};
        write_all(fd, "GET /api/readyz HTTP/1.1\r\nHost: " + this->host + "\r\n\r\n");
        const auto got = read_message(from, 1000);
        ::close(fd);
        return got && got->status() == 200;
    }

    [[nodiscard]] int callers() const { return this->where.callers; }
    [[nodiscard]] const std::string& ip() const { return this->host; }
    [[nodiscard]] const std::string& id() const { return this->name; }
    [[nodiscard]] const std::string& log_file() const { return this->log; }
    [[nodiscard]] pid_t pid() const { return this->process; }

private:
    std::string name;
    std::string host;
    ports where;
    std::string settings;
    std::string log;
    pid_t process = -1;
};

/// Ends with status 2 unless all entries become ready.
inline void await_ready(const std::vector<std::unique_ptr<entry>>& entries, long limit_ms = 15000)
{
    const auto until = now_ms() + limit_ms;
    for (const auto& each : entries) {
        while (!each->ready()) {
            if (now_ms() > until) {
                std::fprintf(stderr, "an entry did not become ready\n");
                std::exit(2);
            }
            sleep_ms(30);
        }
    }
}

inline std::string hex_id(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << (0xa100000000000000ULL + number * 0x9e3779b1ULL);
    return text.str();
}

} // namespace rig
