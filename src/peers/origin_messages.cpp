#include "hibiscusfall/peers/origin_messages.hpp"

#include "hibiscusfall/peers/load_report.hpp"

namespace hibiscusfall::peers
{

namespace
{

constexpr std::uint32_t origin_format = 1;

template <class message>
std::string pack(const message& content)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, content);
    return {buffer.data(), buffer.size()};
}

template <class message>
std::optional<message> unpack(std::span<const char> bytes)
{
    try {
        std::size_t offset = 0;
        const auto handle = unpack_bounded(bytes, offset);
        auto content = handle.get().as<message>();
        if (offset == bytes.size() && content.format == origin_format) {
            return content;
        }
    } catch (const msgpack::type_error&) {
        return std::nullopt;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const origin_request& request)
{
    return pack(request);
}

std::string encode(const origin_receipt& receipt)
{
    return pack(receipt);
}

std::optional<origin_request> decode_origin_request(std::span<const char> bytes)
{
    return unpack<origin_request>(bytes);
}

std::optional<origin_receipt> decode_origin_receipt(std::span<const char> bytes)
{
    return unpack<origin_receipt>(bytes);
}

} // namespace hibiscusfall::peers
