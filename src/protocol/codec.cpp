#include "hibiscusfall/protocol/codec.hpp"

#include "pack.hpp"

#include <sodium.h>

#include <utility>

namespace hibiscusfall::protocol
{

namespace
{

using detail::packer;
using detail::read;
using detail::read_integer;
using detail::write;

constexpr char format_version = 1;
constexpr std::size_t tag_bytes = 16;
constexpr std::size_t smallest_datagram = 1 + tag_bytes;

template <std::size_t index = 0>
bool read_alternative(std::size_t wanted, const msgpack::object& from, message& value)
{
    if constexpr (index == std::variant_size_v<message>) {
        return false;
    } else {
        if (wanted != index) {
            return read_alternative<index + 1>(wanted, from, value);
        }
        return read(from, value.emplace<index>());
    }
}

bool read_message(const msgpack::object& from, message& value)
{
    std::size_t index = 0;
    return from.type == msgpack::type::ARRAY && from.via.array.size == 2 &&
           read_integer(from.via.array.ptr[0], index) &&
           read_alternative(index, from.via.array.ptr[1], value);
}

void write_message(packer& out, const message& value)
{
    out.pack_array(2);
    out.pack(static_cast<std::uint64_t>(value.index()));
    std::visit([&out](const auto& body) { write(out, body); }, value);
}

bool read_datagram(const msgpack::object& from, datagram& value)
{
    constexpr std::uint32_t head_fields = 4;
    if (from.type != msgpack::type::ARRAY || from.via.array.size != head_fields) {
        return false;
    }
    const auto* item = from.via.array.ptr;
    if (!read(item[0], value.from.id) || !read(item[1], value.from.incarnation) ||
        !read(item[2], value.sequence) || item[3].type != msgpack::type::ARRAY) {
        return false;
    }
    const auto& list = item[3].via.array;
    value.messages.resize(list.size);
    for (std::size_t index = 0; index < list.size; ++index) {
        if (!read_message(list.ptr[index], value.messages[index])) {
            return false;
        }
    }
    return true;
}

using tag = std::array<unsigned char, tag_bytes>;

tag tag_of(std::span<const char> bytes, const shared_key& key)
{
    tag result{};
    crypto_generichash(result.data(),
                       result.size(),
                       reinterpret_cast<const unsigned char*>(bytes.data()),
                       bytes.size(),
                       key.bytes().data(),
                       key.bytes().size());
    return result;
}

std::optional<datagram> parse_body(std::span<const char> body, datagram_fault& fault)
{
    const auto limit = static_cast<std::uint32_t>(max_datagram_bytes);
    const msgpack::unpack_limit limits(limit, limit, limit, limit, limit, 16);
    try {
        std::size_t end = 0;
        const auto handle = msgpack::unpack(body.data(), body.size(), end, nullptr, nullptr, limits);
        datagram value;
        if (end == body.size() && read_datagram(handle.get(), value)) {
            fault = datagram_fault::none;
            return value;
        }
    } catch (const msgpack::unpack_error&) {
        fault = datagram_fault::malformed;
        return std::nullopt;
    }
    fault = datagram_fault::malformed;
    return std::nullopt;
}

} // namespace

shared_key shared_key::from_secret(std::string_view secret)
{
    shared_key result;
    crypto_generichash(result.digest.data(),
                       result.digest.size(),
                       reinterpret_cast<const unsigned char*>(secret.data()),
                       secret.size(),
                       nullptr,
                       0);
    return result;
}

std::vector<char> encode(const datagram& value, const shared_key& key)
{
    msgpack::sbuffer buffer;
    buffer.write(&format_version, 1);
    packer out(buffer);
    out.pack_array(4);
    write(out, value.from.id);
    write(out, value.from.incarnation);
    write(out, value.sequence);
    out.pack_array(static_cast<std::uint32_t>(value.messages.size()));
    for (const auto& item : value.messages) {
        write_message(out, item);
    }
    std::vector<char> bytes(buffer.data(), buffer.data() + buffer.size());
    const auto mark = tag_of(bytes, key);
    bytes.insert(bytes.end(), mark.begin(), mark.end());
    return bytes;
}

std::optional<datagram> decode(std::span<const char> bytes, const shared_key& key, datagram_fault& fault)
{
    if (bytes.size() > max_datagram_bytes) {
        fault = datagram_fault::oversize;
        return std::nullopt;
    }
    if (bytes.size() < smallest_datagram) {
        fault = datagram_fault::truncated;
        return std::nullopt;
    }
    const auto signed_part = bytes.first(bytes.size() - tag_bytes);
    const auto expected = tag_of(signed_part, key);
    if (sodium_memcmp(expected.data(), bytes.data() + signed_part.size(), tag_bytes) != 0) {
        fault = datagram_fault::forged;
        return std::nullopt;
    }
    if (signed_part.front() != format_version) {
        fault = datagram_fault::malformed;
        return std::nullopt;
    }
    return parse_body(signed_part.subspan(1), fault);
}

std::size_t encoded_size(const message& value)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    write_message(out, value);
    return buffer.size();
}

std::string_view to_string(datagram_fault value) noexcept
{
    switch (value) {
    case datagram_fault::none:
        return "none";
    case datagram_fault::oversize:
        return "oversize";
    case datagram_fault::truncated:
        return "truncated";
    case datagram_fault::forged:
        return "forged";
    case datagram_fault::malformed:
        return "malformed";
    }
    return "malformed";
}

} // namespace hibiscusfall::protocol
