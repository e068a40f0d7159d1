#pragma once

#include "fields.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

/// Writes and reads the plain structs of the protocol as msgpack arrays of their fields.
namespace hibiscusfall::protocol::detail
{

using packer = msgpack::packer<msgpack::sbuffer>;

template <class type>
struct is_text_id : std::false_type {
};
template <class tag>
struct is_text_id<core::text_id<tag>> : std::true_type {
};
template <class type>
struct is_vector : std::false_type {
};
template <class item>
struct is_vector<std::vector<item>> : std::true_type {
};

template <class type>
void write(packer& out, const type& value)
{
    if constexpr (std::is_enum_v<type>) {
        out.pack(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_arithmetic_v<type> || std::is_same_v<type, std::string>) {
        out.pack(value);
    } else if constexpr (is_text_id<type>::value) {
        out.pack(value.str());
    } else if constexpr (std::is_same_v<type, core::duration>) {
        out.pack(static_cast<std::int64_t>(value.count()));
    } else if constexpr (is_vector<type>::value) {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto& item : value) {
            write(out, item);
        }
    } else {
        const auto parts = fields(value);
        out.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(parts)>));
        std::apply([&out](const auto&... part) { (write(out, part), ...); }, parts);
    }
}

template <class type>
bool read(const msgpack::object& from, type& value);

template <class item>
bool read_items(const msgpack::object& from, std::vector<item>& items)
{
    if (from.type != msgpack::type::ARRAY) {
        return false;
    }
    items.resize(from.via.array.size);
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (!read(from.via.array.ptr[index], items[index])) {
            return false;
        }
    }
    return true;
}

template <class type>
bool read_integer(const msgpack::object& from, type& value)
{
    if (from.type == msgpack::type::POSITIVE_INTEGER) {
        value = static_cast<type>(from.via.u64);
        return std::in_range<type>(from.via.u64);
    }
    if (from.type == msgpack::type::NEGATIVE_INTEGER) {
        value = static_cast<type>(from.via.i64);
        return std::in_range<type>(from.via.i64);
    }
    return false;
}

/// The packer writes a double without a fraction as an integer.
template <class type>
bool read_float(const msgpack::object& from, type& value)
{
    if (from.type == msgpack::type::POSITIVE_INTEGER) {
        value = static_cast<type>(from.via.u64);
        return true;
    }
    if (from.type == msgpack::type::NEGATIVE_INTEGER) {
        value = static_cast<type>(from.via.i64);
        return true;
    }
    if (from.type != msgpack::type::FLOAT64 && from.type != msgpack::type::FLOAT32) {
        return false;
    }
    value = static_cast<type>(from.via.f64);
    return true;
}

template <class type>
bool read_fields(const msgpack::object& from, type& value)
{
    auto parts = fields(value);
    if (from.type != msgpack::type::ARRAY || from.via.array.size != std::tuple_size_v<decltype(parts)>) {
        return false;
    }
    const auto* item = from.via.array.ptr;
    return std::apply([&item](auto&... part) { return (read(*item++, part) && ...); }, parts);
}

template <class type>
bool read(const msgpack::object& from, type& value)
{
    if constexpr (std::is_same_v<type, bool>) {
        value = from.type == msgpack::type::BOOLEAN && from.via.boolean;
        return from.type == msgpack::type::BOOLEAN;
    } else if constexpr (std::is_enum_v<type>) {
        std::uint8_t number = 0;
        const bool valid = read_integer(from, number);
        value = static_cast<type>(number);
        return valid;
    } else if constexpr (std::is_integral_v<type>) {
        return read_integer(from, value);
    } else if constexpr (std::is_floating_point_v<type>) {
        return read_float(from, value);
    } else if constexpr (std::is_same_v<type, std::string>) {
        if (from.type != msgpack::type::STR) {
            return false;
        }
        value.assign(from.via.str.ptr, from.via.str.size);
        return true;
    } else if constexpr (is_text_id<type>::value) {
        std::string text;
        const bool valid = read(from, text);
        value = type{std::move(text)};
        return valid;
    } else if constexpr (std::is_same_v<type, core::duration>) {
        std::int64_t microseconds = 0;
        const bool valid = read_integer(from, microseconds);
        value = core::duration{microseconds};
        return valid;
    } else if constexpr (is_vector<type>::value) {
        return read_items(from, value);
    } else {
        return read_fields(from, value);
    }
}

} // namespace hibiscusfall::protocol::detail
