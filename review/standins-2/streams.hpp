#pragma once

/// @file
/// @brief Model workers whose streams tell their software version, and clients that take broken streams up.

#include "rig.hpp"

namespace rig
{

constexpr long event_gap_ms = 200;
constexpr int stream_events = 60;
constexpr long deadline_ms = 15000;

/// The configuration: one route with streams that may be resumed.
inline std::string stream_configuration(int version = 3)
{
    const json route{{"name", "chat"},
                     {"hostname", "pool.example"},
                     {"path-prefix", "/chat/"},
                     {"kind", "streaming"},
                     {"timeout-ms", deadline_ms},
                     {"goal-ms", 800},
                     {"gap-aim-ms", 250},
                     {"priority", 1},
                     {"service", "pool"},
                     {"max-attempts", 3},
                     {"sticky", true},
                     {"resumable", true}};
    const json service{{"name", "pool"},
                       {"health-path", "/health"},
                       {"max-conns", 370},
                       {"engine", {{"slots", 64}, {"kv-capacity-tokens", 431646}, {"stride", 6}}}};
    json configuration{{"version", version}, {"limits", {{"tokens-per-s", 900000}}}};
    configuration["routes"].push_back(route);
    configuration["services"].push_back(service);
    configuration["tenants"].push_back({{"name", "team-one"}, {"api-keys", {"key-of-team-one"}}});
    return configuration.dump();
}

/// @brief A worker of the service "pool".
class stream_worker
{
public:
    /// @param more_ms By how much the first token of a request that begins is later than usual.
    stream_worker(std::string own_id,
                  std::string in_zone,
                  std::string runs,
                  long until_token_ms,
                  record& to,
                  std::function<long()> more_ms = {},
                  int events = stream_events)
        : id(std::move(own_id)), zone(std::move(in_zone)), version(std::move(runs)),
          first_token_ms(until_token_ms), last_event(events), log(to), later(std::move(more_ms)),
          listener("127.0.0.1", [this](int fd, reader& from) { this->serve(fd, from); })
    {
    }

    [[nodiscard]] std::string entry()
    {
        const std::lock_guard lock(this->mutex);
        return json{{"service", "pool"},
                    {"address", this->listener.address()},
                    {"zone", this->zone},
                    {"version", this->version},
                    {"slots", 64},
                    {"state", "ready"},
                    {"cold-left-ms", 0},
                    {"sequence", 1},
                    {"born", this->born}}
            .dump();
    }

    /// Ends with its connections, and says nothing.
    void crash(store& platform)
    {
        platform.silence("servers/" + this->id);
        this->log.line("worker " + this->id + " (" + this->runs() + ") crashes");
        this->listener.stop();
    }

    /// Starts again under its id and at its address, with the version given.
    void start_again(const std::string& with_version, store& platform)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->version = with_version;
            this->born += now_ms();
        }
        this->listener.open();
        platform.announce("servers/" + this->id, this->entry());
        this->log.line("worker " + this->id + " is back with " + with_version);
    }

    const std::string id;

private:
    std::string runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->version;
    }

    void serve(int fd, reader& from)
    {
        while (const auto request = read_message(from, 30000)) {
            const auto name = request->field("x-hibiscusfall-request-id");
            if (name.empty()) {
                write_all(fd,
                          answer(200,
                                 "Content-Type: application/json\r\n",
                                 R"({"stage":"both","models":[],"busy":false})"));
                continue;
            }
            if (request->field("x-hibiscusfall-expect-instance") != this->id) {
                write_all(fd, answer(421, "X-Hibiscusfall-Not-Run: 1\r\n", ""));
                continue;
            }
            const auto own_version = this->runs();
            const auto last = request->field("last-event-id");
            const auto stamps = "X-Hibiscusfall-Request-Id: " + name +
                                "\r\nX-Hibiscusfall-Server-Stamp: " + this->id + "\r\n";
            this->log.line("worker " + this->id + " (" + own_version + ") runs " + name +
                           (last.empty() ? std::string{} : " after event " + last));
            const long more_ms = last.empty() && this->later ? this->later() : 0;
            if (wait_readable(fd, this->first_token_ms + more_ms)) {
                return; // the connection was closed
            }
            if (!write_all(fd,
                           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + stamps +
                               "Transfer-Encoding: chunked\r\n\r\n")) {
                return;
            }
            int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
            for (; event <= this->last_event; ++event) {
                if (!write_all(fd,
                               chunk("id: " + std::to_string(event) + "\ndata: " + own_version + "\n\n")) ||
                    wait_readable(fd, event_gap_ms)) {
                    return;
                }
            }
            write_all(fd, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        }
    }

    std::mutex mutex;
    std::string zone;
    std::string version;
    std::int64_t born = 1790000000123;
    long first_token_ms;
    int last_event;
    record& log;
    std::function<long()> later;
    server listener;
};

/// @brief A client's stream.
struct stream {
    std::string first_id;
    std::map<int, std::string> events{}; ///< The version of each event.
    bool taken_up = false;
    bool went_on = false; ///< Whether an event came after it was taken up.
    bool complete = false;

    [[nodiscard]] std::set<std::string> versions() const
    {
        std::set<std::string> found;
        for (const auto& [number, version] : this->events) {
            found.insert(version);
        }
        return found;
    }
};

/// @brief One client attempt, which takes the stream up if it has events.
/// @returns Whether the client may try again.
inline bool attempt(const entry& at, const std::string& id, stream& of, record& log, long began)
{
    const int fd = connect_to(at.ip(), at.callers());
    if (fd < 0) {
        log.line("client cannot connect to " + at.id() + " for " + id);
        return true;
    }
    const bool again = !of.events.empty();
    const int last = again ? of.events.rbegin()->first : 0;
    std::string head =
        "POST /chat/1 HTTP/1.1\r\nHost: pool.example\r\nX-Hibiscusfall-Request-Id: " + id +
        "\r\nX-Hibiscusfall-Credential: key-of-team-one\r\nX-Hibiscusfall-Model: m\r\n"
        "X-Hibiscusfall-Token-Count: 826,400\r\nX-Hibiscusfall-Prompt-Prefix: 5c1e07a2:198," +
        id + ":628\r\nX-Hibiscusfall-Deadline-Ms: " + std::to_string(deadline_ms - (now_ms() - began)) +
        "\r\n";
    if (again) {
        head += "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + of.first_id + "\r\n";
    }
    log.line("client sends " + id + " to " + at.id() +
             (again ? ", taking up " + of.first_id + " after event " + std::to_string(last) : std::string{}));
    const auto body = json{{"question", of.first_id}}.dump();
    write_all(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    reader from{.fd = fd};
    const auto response = read_head(from, deadline_ms);
    if (!response || response->status() != 200) {
        if (response) {
            from.more(50);
        }
        log.line("client gets " + std::to_string(response ? response->status() : 0) + " for " + id + " " +
                 from.buffer);
        ::close(fd);
        return !response || response->status() == 503;
    }
    const auto until = began + deadline_ms;
    while (!of.complete) {
        const auto end = from.buffer.find("\n\n");
        if (end == std::string::npos) {
            if (!from.more(until - now_ms())) {
                break;
            }
            continue;
        }
        const auto at_event = from.buffer.find("id: ");
        if (at_event < end) {
            const auto data = from.buffer.find("data: ", at_event) + 6;
            of.events[std::atoi(from.buffer.c_str() + at_event + 4)] = from.buffer.substr(data, end - data);
            of.went_on = of.went_on || again;
        } else if (from.buffer.find("[DONE]") < end) {
            of.complete = true;
        }
        from.buffer.erase(0, end + 2);
    }
    ::close(fd);
    log.line("client has " + std::to_string(of.events.size()) + " events of " + of.first_id +
             (of.complete ? ", complete" : ", broken off"));
    return !of.complete && now_ms() < until;
}

} // namespace rig
