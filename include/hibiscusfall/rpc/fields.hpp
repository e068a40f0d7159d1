#pragma once

#include <cstdint>
#include <map>
#include <string>

/// @file
/// @brief What calls between instances carry. The headers of this package are read by C++14 units too.

namespace hibiscusfall
{
namespace rpc
{

/// @brief Named values: the parameters of a call, or its result.
struct fields {
    std::map<std::string, std::string> texts; ///< UTF-8.
    std::map<std::string, std::uint64_t> numbers;
};

} // namespace rpc
} // namespace hibiscusfall
