#include "platform_store.hpp"

#include "hibiscusfall/encoding/base64.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace hibiscusfall::testing
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t large_body_bytes = 1U << 20U;

} // namespace

platform_store::platform_store()
{
    const asio::ip::tcp::endpoint any{asio::ip::address_v4::loopback(), 0};
    this->acceptor.open(any.protocol());
    this->acceptor.bind(any);
    this->acceptor.listen();
    this->accept_thread = std::thread{[this] {
        while (!this->stopping) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket{this->io};
            this->acceptor.accept(socket, error);
            if (error || this->stopping) {
                return;
            }
            this->threads.emplace_back(
                [this](asio::ip::tcp::socket accepted) { this->serve(std::move(accepted)); },
                std::move(socket));
        }
    }};
}

platform_store::~platform_store()
{
    this->stopping = true;
    boost::system::error_code ignored;
    asio::ip::tcp::socket waker{this->io};
    waker.connect(this->acceptor.local_endpoint(), ignored);
    this->accept_thread.join();
    for (auto& thread : this->threads) {
        thread.join();
    }
}

core::address platform_store::address() const
{
    return {.host = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
}

void platform_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->set_item(key, value, 0);
}

void platform_store::remove(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->remove_item(key);
}

std::optional<std::string> platform_store::value(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->end_leases();
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::nullopt : std::optional{found->second.value};
}

std::vector<std::string> platform_store::keys(const std::string& prefix)
{
    const std::lock_guard lock(this->mutex);
    this->end_leases();
    std::vector<std::string> found;
    for (const auto& [key, stored] : this->items) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

void platform_store::end_connections(connection_end how)
{
    this->end_of_connections = how;
    ++this->connection_generation;
}

void platform_store::expire_leases()
{
    const std::lock_guard lock(this->mutex);
    for (auto& [lease, end] : this->leases) {
        end = std::chrono::steady_clock::time_point::min();
    }
    this->end_leases();
}

void platform_store::set_before_change(std::function<void()> call)
{
    const std::lock_guard lock(this->mutex);
    this->before_change = std::move(call);
}

void platform_store::set_before_read(std::function<void(const std::string& key)> call)
{
    const std::lock_guard lock(this->mutex);
    this->before_read = std::move(call);
}

void platform_store::expire_lease_of(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
        return;
    }
    this->leases[found->second.lease] = std::chrono::steady_clock::time_point::min();
    this->end_leases();
}

void platform_store::set_item(const std::string& key, std::string value, std::uint64_t lease)
{
    this->history.push_back({.key = key, .revision = this->revision, .deleted = false, .value = value});
    auto& stored = this->items[key];
    stored.created = stored.created == 0 ? this->revision : stored.created;
    stored.value = std::move(value);
    stored.revision = this->revision;
    stored.lease = lease;
}

void platform_store::remove_item(const std::string& key)
{
    this->items.erase(key);
    this->history.push_back({.key = key, .revision = this->revision, .deleted = true, .value = {}});
}

void platform_store::remove_leased(std::uint64_t lease)
{
    std::vector<std::string> removed;
    for (const auto& [key, stored] : this->items) {
        if (stored.lease == lease) {
            removed.push_back(key);
        }
    }
    if (!removed.empty()) {
        ++this->revision;
    }
    for (const auto& key : removed) {
        this->remove_item(key);
    }
}

void platform_store::end_leases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto each = this->leases.begin(); each != this->leases.end();) {
        const bool ended = each->second == std::chrono::steady_clock::time_point::min();
        if (!ended && (this->leases_paused || each->second > now)) {
            ++each;
            continue;
        }
        this->remove_leased(each->first);
        each = this->leases.erase(each);
    }
}

std::uint64_t platform_store::revision_of(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? 0 : found->second.revision;
}

json platform_store::describe(const std::string& key) const
{
    const auto& stored = this->items.at(key);
    return {{"key", key},
            {"value", encoding::to_base64(stored.value)},
            {"revision", stored.revision},
            {"created-rev", stored.created},
            {"lease", stored.lease}};
}

void platform_store::compact()
{
    const std::lock_guard lock(this->mutex);
    this->history.clear();
    this->compacted_revision = ++this->revision;
}

platform_store::copy platform_store::snapshot()
{
    const std::lock_guard lock(this->mutex);
    return {.items = this->items, .leases = this->leases, .revision = this->revision};
}

void platform_store::restore(const copy& earlier)
{
    const std::lock_guard lock(this->mutex);
    this->replace_with(earlier);
}

void platform_store::restore_after_next_page(copy earlier)
{
    const std::lock_guard lock(this->mutex);
    this->restored_after_page = std::move(earlier);
}

void platform_store::replace_with(const copy& earlier)
{
    this->items = earlier.items;
    this->leases = earlier.leases;
    this->revision = earlier.revision;
    this->history.clear();
    this->compacted_revision = earlier.revision;
    ++this->era;
}

void platform_store::set_era_header(std::optional<std::string> text)
{
    const std::lock_guard lock(this->mutex);
    this->custom_era_header = true;
    this->era_header = std::move(text);
}

void platform_store::reset_era_header()
{
    const std::lock_guard lock(this->mutex);
    this->custom_era_header = false;
}

std::uint64_t platform_store::current_era()
{
    const std::lock_guard lock(this->mutex);
    return this->era;
}

platform_store::answer platform_store::make_answer(unsigned status, std::string body) const
{
    return {.status = status,
            .body = std::move(body),
            .era = this->custom_era_header ? this->era_header : std::to_string(this->era)};
}

void platform_store::serve(asio::ip::tcp::socket socket)
{
    const int generation = this->connection_generation;
    const auto ends = [&](connection_end how) {
        return generation != this->connection_generation && this->end_of_connections == how;
    };
    boost::beast::flat_buffer buffer;
    while (!this->stopping) {
        socket.non_blocking(false);
        http::request<http::string_body> request;
        boost::system::error_code error;
        // Polls, so that the end of the test is noticed while waiting for a request.
        while (socket.available(error) == 0 && !error && !this->stopping && buffer.size() == 0) {
            std::this_thread::sleep_for(1ms);
            char byte = 0;
            if (::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
                ends(connection_end::closed)) {
                return;
            }
        }
        if (ends(connection_end::silent)) {
            this->drop_all(socket);
        }
        if (this->stopping || ends(connection_end::at_a_request)) {
            return;
        }
        http::read(socket, buffer, request, error);
        if (error) {
            return;
        }
        ++this->requests;
        const auto kind = this->active_fault.load();
        if (kind == fault::disconnect) {
            return;
        }
        while (this->active_fault == fault::unresponsive && !this->stopping) {
            std::this_thread::sleep_for(1ms);
        }
        if (this->changes_lost && request.target() == "/api/kv-txn") {
            {
                const std::lock_guard lock(this->mutex);
                this->lost_changes.push_back(request.body());
            }
            this->drop_all(socket);
            return;
        }
        answer sent;
        if (kind == fault::unavailable) {
            const std::lock_guard lock(this->mutex);
            sent = this->make_answer(503, {});
        } else {
            sent = this->handle(
                std::string{request.method_string()}, std::string{request.target()}, request.body());
        }
        http::response<http::string_body> response{static_cast<http::status>(sent.status), 11};
        if (sent.era) {
            response.set("Store-Era", *sent.era);
        }
        response.body() = sent.body;
        response.prepare_payload();
        http::response_serializer<http::string_body> serializer{response};
        http::write_header(socket, serializer, error);
        if (sent.body.size() > large_body_bytes) {
            std::this_thread::sleep_for(5ms); // the head arrives by itself
        }
        if (!error) {
            http::write(socket, serializer, error);
        }
    }
}

void platform_store::drop_all(asio::ip::tcp::socket& socket) const
{
    while (!this->stopping) {
        std::array<char, 1024> dropped{};
        const auto got = ::recv(socket.native_handle(), dropped.data(), dropped.size(), MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            return;
        }
        std::this_thread::sleep_for(1ms);
    }
}

std::size_t platform_store::lost_change_count()
{
    const std::lock_guard lock(this->mutex);
    return this->lost_changes.size();
}

void platform_store::carry_out_lost_changes()
{
    std::vector<std::string> bodies;
    {
        const std::lock_guard lock(this->mutex);
        bodies.swap(this->lost_changes);
    }
    for (const auto& body : bodies) {
        this->handle_change(body);
    }
}

} // namespace hibiscusfall::testing
