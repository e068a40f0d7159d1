#include "hibiscusfall/encoding/base64.hpp"

#include <sodium.h>

namespace hibiscusfall::encoding
{

std::string to_base64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(),
                      text.size(),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                                         bytes.size(),
                                         text.data(),
                                         text.size(),
                                         nullptr,
                                         &length,
                                         nullptr,
                                         sodium_base64_VARIANT_ORIGINAL);
    if (failed != 0) {
        return std::nullopt;
    }
    bytes.resize(length);
    return bytes;
}

} // namespace hibiscusfall::encoding
