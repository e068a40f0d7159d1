#pragma once

#include "record.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hibiscusfall::review
{

/// @brief One connection of a client. Reads responses with a length, in chunks, or up to the end of the
/// connection.
class caller
{
public:
    caller(std::string host, std::uint16_t number) : address(std::move(host)), port(number) {}
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// @brief Opens the connection. Clients allow one second for it.
    bool connect(int limit_ms = 1000);

    bool send(std::string_view bytes);

    /// @brief Reads the head of a response into @c status and @c fields.
    bool read_head(instant until);

    /// @brief Reads on until the body contains one more piece.
    /// @returns False at the end of the response, of the connection or of the time; see @c complete.
    bool read_piece(instant until);

    /// @brief Reads the rest of the body.
    bool read_body(instant until)
    {
        while (this->read_piece(until)) {
        }
        return this->complete;
    }

    void close();

    int status = 0;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool complete = false; ///< Whether the response has come to its end.

private:
    bool receive(instant until);
    bool read_line(std::string& line, instant until);

    std::string address;
    std::uint16_t port;
    int descriptor = -1;
    std::string buffer;
    long left = 0; ///< Bytes of the body, or of the chunk, that are still to come.
    bool chunked = false;
    bool until_end = false;
};

} // namespace hibiscusfall::review
