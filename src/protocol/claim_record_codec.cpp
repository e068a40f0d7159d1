#include "hibiscusfall/protocol/claim_record_codec.hpp"

#include "pack.hpp"

namespace hibiscusfall::protocol
{

namespace
{

template <class type>
std::string pack_value(const type& value)
{
    msgpack::sbuffer buffer;
    detail::packer out(buffer);
    detail::write(out, value);
    return {buffer.data(), buffer.size()};
}

template <class type>
std::optional<type> unpack_value(std::string_view bytes)
{
    try {
        std::size_t end = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end);
        type value;
        if (end == bytes.size() && detail::read(handle.get(), value)) {
            return value;
        }
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string pack(const claim_record& value)
{
    return pack_value(value);
}

std::string pack(const std::vector<claim_entry>& value)
{
    return pack_value(value);
}

std::optional<claim_record> unpack_record(std::string_view bytes)
{
    return unpack_value<claim_record>(bytes);
}

std::optional<std::vector<claim_entry>> unpack_entries(std::string_view bytes)
{
    return unpack_value<std::vector<claim_entry>>(bytes);
}

std::size_t packed_size(const claim_entry& value)
{
    return pack_value(value).size();
}

} // namespace hibiscusfall::protocol
