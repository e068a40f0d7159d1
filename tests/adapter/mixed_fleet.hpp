#pragma once

#include "entry_process.hpp"
#include "platform_store.hpp"
#include "version_endpoint.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace hibiscusfall::testing
{

inline constexpr auto configuration = R"({"version":1,"routes":[{"name":"r1","hostname":"a.example",
  "path-prefix":"/x/","kind":"streaming","timeout-ms":120000,"goal-ms":800,"priority":1,"service":"s1",
  "max-attempts":2,"anonymous":true,"sticky":false,"resumable":true,"gap-aim-ms":2000}],
  "services":[{"name":"s1","health-path":"/health","max-conns":96}],"tenants":[]})";
/// Longest time that a condition of a process test is waited for.
inline constexpr std::chrono::seconds limit{20};

/// @brief A caller's connection with one request.
class caller
{
public:
    caller(const entry_process& entry, const std::string& id, const std::string& extra_headers = {})
    {
        boost::system::error_code error;
        this->socket.connect({boost::asio::ip::address_v4::loopback(), entry.caller_port()}, error);
        const auto request = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                             "X-Hibiscusfall-Deadline-Ms: 120000\r\nX-Hibiscusfall-Request-Id: " +
                             id + "\r\n" + extra_headers + "\r\n";
        boost::asio::write(this->socket, boost::asio::buffer(request), error);
    }

    /// @brief Reads up to and with @p text, or to the end.
    /// @returns Whether the text came.
    bool read_until(const std::string& text)
    {
        boost::system::error_code error;
        boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(this->received), text, error);
        return !error;
    }

    /// @brief Status of the response; empty without one.
    std::string status()
    {
        this->read_until("\r\n\r\n");
        return this->received.size() > 12 ? this->received.substr(9, 3) : std::string{};
    }

    /// @brief The version that an event names; empty if no event came.
    std::string version()
    {
        constexpr std::string_view name = R"("version":")";
        if (!this->read_until(R"("})")) {
            return {};
        }
        const auto at = this->received.find(name) + name.size();
        return this->received.substr(at, this->received.find('"', at) - at);
    }

    [[nodiscard]] const std::string& text() const { return this->received; }

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket{io};
    std::string received;
};

/// @brief Two instances before endpoints of three versions.
class mixed_fleet
{
public:
    explicit mixed_fleet(const std::vector<std::string>& versions)
    {
        this->store.set_leases_paused(true);
        this->store.put("op/config", configuration);
        for (const auto& each : versions) {
            this->add(each);
        }
        for (const auto* name : {"one", "two"}) {
            this->entries.push_back(std::make_unique<entry_process>(this->store.address(), name));
        }
    }

    /// @brief Starts an endpoint of a version and enters it in the store.
    void add(const std::string& version)
    {
        const auto& endpoint =
            this->endpoints.emplace(version, std::make_unique<version_endpoint>("e-" + version, version))
                .first->second;
        this->store.put("servers/" + endpoint->id(), endpoint->entry());
    }

    bool ready()
    {
        return eventually([&] { return this->entries[0]->ready() && this->entries[1]->ready(); }, limit);
    }

    entry_process& entry(std::size_t number) { return *this->entries[number % 2]; }

    /// @brief Begins streams through both instances until each version has at least two of each.
    /// @returns The version of each stream, by the id of its request, in the order of beginning.
    std::vector<std::pair<std::string, std::string>> begin_streams()
    {
        constexpr std::size_t most = 400;
        std::vector<std::pair<std::string, std::string>> begun;
        std::map<std::pair<std::string, std::size_t>, int> counts;
        const auto enough = [&] {
            return counts.size() == 2 * this->endpoints.size() &&
                   std::all_of(
                       counts.begin(), counts.end(), [](const auto& each) { return each.second > 1; });
        };
        for (std::size_t i = 0; i < most && !enough(); ++i) {
            const auto id = "begun" + std::to_string(i);
            auto stream = std::make_unique<caller>(this->entry(i), id);
            const auto version = stream->status() == "200" ? stream->version() : std::string{};
            if (version.empty()) { // not yet registered
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
                continue;
            }
            ++counts[{version, i % 2}];
            begun.emplace_back(id, version);
            this->streams.push_back(std::move(stream));
        }
        BOOST_REQUIRE(enough());
        return begun;
    }

    /// @brief Kills both at once and starts them with empty memory.
    void kill_and_restart()
    {
        for (auto& each : this->entries) {
            each->child().signal(SIGKILL);
        }
        for (auto& each : this->entries) {
            each->kill_and_restart();
        }
        this->streams.clear();
    }

    platform_store store;
    std::map<std::string, std::unique_ptr<version_endpoint>> endpoints; ///< By version.

private:
    std::vector<std::unique_ptr<entry_process>> entries;
    std::vector<std::unique_ptr<caller>> streams;
};

/// @brief Headers with which a caller takes up the stream that the request began, after its first event.
inline std::string take_up_of(const std::string& id)
{
    return "Last-Event-Id: 1\r\nResumes: " + id + "\r\n";
}

/// @brief Takes a stream up, again while the instance refuses calls as the machine is too busy for it.
inline std::unique_ptr<caller>
take_up(const entry_process& entry, const std::string& id, const std::string& round = {})
{
    std::unique_ptr<caller> again;
    int tries = 0;
    (void)eventually(
        [&] {
            again = std::make_unique<caller>(
                entry, "again" + round + id + "-" + std::to_string(tries++), take_up_of(id));
            return again->status() != "503" || !again->read_until("overloaded");
        },
        limit);
    return again;
}

} // namespace hibiscusfall::testing
