#include "platform_store.hpp"

#include "hibiscusfall/encoding/base64.hpp"
#include "hibiscusfall/encoding/percent.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

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

std::string query_parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    const auto decoded = encoding::from_percent(target.substr(begin, target.find('&', begin) - begin));
    return decoded.value_or("");
}

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
    this->items[key] = {.value = value, .revision = ++this->revision};
    this->history.push_back({.key = key, .revision = this->revision, .deleted = false, .value = value});
}

void platform_store::remove(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->items.erase(key);
    this->history.push_back({.key = key, .revision = ++this->revision, .deleted = true, .value = {}});
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
    return {.items = this->items, .revision = this->revision};
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
    boost::beast::flat_buffer buffer;
    while (!this->stopping) {
        socket.non_blocking(false);
        http::request<http::string_body> request;
        boost::system::error_code error;
        // Polls, so that the end of the test is noticed while waiting for a request.
        while (socket.available(error) == 0 && !error && !this->stopping && buffer.size() == 0) {
            std::this_thread::sleep_for(1ms);
            char byte = 0;
            if (::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
                return;
            }
        }
        if (this->stopping) {
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
        answer sent;
        if (kind == fault::unavailable) {
            const std::lock_guard lock(this->mutex);
            sent = this->make_answer(503, {});
        } else {
            sent = this->handle(std::string{request.target()});
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

platform_store::answer platform_store::handle(const std::string& target)
{
    const auto prefix = query_parameter(target, "path-prefix");
    const auto after = query_parameter(target, "after");
    if (target.starts_with("/api/kv-range")) {
        return this->handle_range(prefix, this->active_fault == fault::repeated_page ? "" : after);
    }
    return this->handle_watch(prefix, std::stoull(after), std::stoi(query_parameter(target, "wait-ms")));
}

platform_store::answer platform_store::handle_range(const std::string& prefix, const std::string& after)
{
    const std::lock_guard lock(this->mutex);
    json page_items = json::array();
    bool has_more = false;
    for (const auto& [key, stored] : this->items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (page_items.size() == this->page_size) {
            has_more = true;
            break;
        }
        page_items.push_back(
            {{"key", key}, {"value", encoding::to_base64(stored.value)}, {"revision", stored.revision}});
    }
    auto page = this->make_answer(
        200, json{{"items", page_items}, {"has-more", has_more}, {"as-of", this->revision}}.dump());
    if (has_more && this->restored_after_page) {
        this->replace_with(*std::exchange(this->restored_after_page, std::nullopt));
    }
    return page;
}

platform_store::answer
platform_store::handle_watch(const std::string& prefix, std::uint64_t after, int wait_ms)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_ms};
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            if (after < this->compacted_revision || after > this->revision ||
                this->active_fault == fault::history_gone) {
                return this->make_answer(410, "{}");
            }
            json events = json::array();
            for (const auto& each : this->history) {
                if (each.revision <= after || !each.key.starts_with(prefix)) {
                    continue;
                }
                if (each.deleted) {
                    events.push_back({{"key", each.key}, {"revision", each.revision}, {"deleted", true}});
                } else {
                    events.push_back({{"key", each.key},
                                      {"revision", each.revision},
                                      {"value", encoding::to_base64(each.value)}});
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= deadline || this->stopping) {
                return this->make_answer(200, json{{"events", events}, {"as-of", this->revision}}.dump());
            }
        }
        std::this_thread::sleep_for(1ms);
    }
}

} // namespace hibiscusfall::testing
