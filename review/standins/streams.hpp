#pragma once

#include "caller.hpp"
#include "fleet.hpp"
#include "worker.hpp"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

/// @file
/// @brief Streams that may be resumed: their workers, their route and their callers.

namespace hibiscusfall::review
{

/// @brief Length and pace of the streams.
struct stream_pace {
    int events = 80;
    std::chrono::milliseconds interval{100};
};

/// @brief Writes the events of a stream, each with the version of the worker, from the one after
/// @c Last-Event-Id on.
inline worker::work stream_work(stream_pace pace)
{
    return [pace](worker& self, const http_request& request, const worker::writer& write) {
        const auto last = request["Last-Event-Id"];
        int event = last.empty() ? 0 : std::stoi(std::string{last.data(), last.size()});
        const auto version = self.options.version; // of this incarnation
        if (!write(self.stream_head(request))) {
            return false;
        }
        while (event < pace.events) {
            ++event;
            const auto data =
                nlohmann::json{{"version", version}, {"worker", self.options.id}, {"event", event}}.dump();
            if (!write(worker::chunk("id: " + std::to_string(event) + "\ndata: " + data + "\n\n"))) {
                return false;
            }
            std::this_thread::sleep_for(pace.interval);
        }
        return write("0\r\n\r\n");
    };
}

/// @brief A configuration with one route of resumable streams.
inline nlohmann::json stream_configuration()
{
    using nlohmann::json;
    return {{"version", 1},
            {"routes",
             {{{"name", "shift-query"},
               {"hostname", "rolls.example"},
               {"path-prefix", "/query/"},
               {"kind", "streaming"},
               {"timeout-ms", 15000},
               {"goal-ms", 800},
               {"gap-aim-ms", 200},
               {"priority", 1},
               {"service", "hib-draft"},
               {"max-attempts", 2},
               {"anonymous", true},
               {"sticky", true},
               {"resumable", true}}}},
            {"services",
             {{{"name", "hib-draft"},
               {"health-path", "/health"},
               {"max-conns", 370},
               {"engine", {{"slots", 64}, {"kv-capacity-tokens", 431646}, {"stride", 6}}}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 5000},
              {"idle-timeout-ms", 15000},
              {"tokens-per-s", 1000000}}}};
}

/// @brief One client's stream, over all of its attempts.
class stream_client
{
public:
    /// How one attempt ended.
    enum class end { complete, broken, refused, no_answer };

    stream_client(std::string name, record& out) : id(std::move(name)), lines(out) {}

    /// @brief Makes one attempt: the first one, or one that takes the stream up after its last event.
    end attempt(const machine& target, instant deadline)
    {
        ++this->attempts;
        const auto request = this->id + "-" + std::to_string(this->attempts);
        const bool takes_up = this->last_event > 0;
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now()).count();
        std::string text = "POST /query/shift HTTP/1.1\r\nHost: rolls.example\r\n"
                           "X-Hibiscusfall-Model: m\r\nX-Hibiscusfall-Token-Count: 60,600\r\n"
                           "X-Hibiscusfall-Prompt-Prefix: " +
                           this->part() + ":60\r\nX-Hibiscusfall-Deadline-Ms: " + std::to_string(left) +
                           "\r\nX-Hibiscusfall-Request-Id: " + request + "\r\n";
        if (takes_up) {
            text +=
                "Last-Event-Id: " + std::to_string(this->last_event) + "\r\nResumes: " + this->first + "\r\n";
        }
        const int before = this->last_event;
        const auto finished = this->read(target, text + "Content-Length: 0\r\n\r\n", request, deadline);
        static constexpr const char* names[] = {"complete", "broken", "refused", "no answer"};
        this->lines.line("stream " + this->id + " attempt " + std::to_string(this->attempts) + " at " +
                         target.name() + (takes_up ? " after event " + std::to_string(before) : "") + ": " +
                         names[static_cast<int>(finished)] + " status " + std::to_string(this->status) +
                         ", last event " + std::to_string(this->last_event) + ", versions " +
                         this->version_names() + (this->reason.empty() ? "" : " " + this->reason));
        this->went_on = this->went_on || (takes_up && this->last_event > before);
        return finished;
    }

    [[nodiscard]] std::string version_names() const
    {
        std::string names;
        for (const auto& each : this->versions) {
            names += (names.empty() ? "" : "+") + each;
        }
        return names;
    }

    std::string id;
    int attempts = 0;
    int last_event = 0;
    int status = 0;
    bool went_on = false; ///< Whether an attempt that took the stream up brought an event.
    bool out_of_order = false;
    double retry_after = 0; ///< Of the last refusal, in seconds.
    std::string reason;     ///< Body of the last refusal.
    std::string first;      ///< Id of the request that brought the first event.
    std::string first_worker;
    std::set<std::string> versions; ///< Of the events that the client holds.

private:
    [[nodiscard]] std::string part() const
    {
        std::string text;
        for (const char each : this->id) {
            text += "0123456789abcdef"[static_cast<unsigned char>(each) % 16];
        }
        return text.substr(text.size() > 12 ? text.size() - 12 : 0);
    }

    end read(const machine& target, const std::string& text, const std::string& request, instant deadline)
    {
        caller connection{target.ip(), target.caller_port()};
        this->status = 0;
        this->reason.clear();
        if (!connection.connect() || !connection.send(text) || !connection.read_head(deadline)) {
            return end::no_answer;
        }
        this->status = connection.status;
        if (connection.status != 200) {
            connection.read_body(deadline);
            this->reason = connection.body;
            const auto& after = connection.fields["retry-after"];
            this->retry_after = after.empty() ? 0 : std::stod(after);
            return end::refused;
        }
        std::size_t parsed = 0;
        while (connection.read_piece(deadline)) {
            for (auto stop = connection.body.find("\n\n", parsed); stop != std::string::npos;
                 stop = connection.body.find("\n\n", parsed)) {
                this->take(connection.body.substr(parsed, stop - parsed), request);
                parsed = stop + 2;
            }
        }
        return connection.complete ? end::complete : end::broken;
    }

    void take(const std::string& event, const std::string& request)
    {
        const auto at = event.find("data: ");
        const auto data = nlohmann::json::parse(event.substr(at + 6));
        const int number = data.at("event").get<int>();
        this->out_of_order = this->out_of_order || number != this->last_event + 1;
        if (this->first.empty()) {
            this->first = request;
            this->first_worker = data.at("worker").get<std::string>();
        }
        this->last_event = number;
        this->versions.insert(data.at("version").get<std::string>());
    }

    record& lines;
};

} // namespace hibiscusfall::review
