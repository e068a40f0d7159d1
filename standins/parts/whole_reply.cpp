#include "standins/parts/whole_reply.hpp"

namespace hibiscusfall::standins
{

bool reply_whole(connection& client,
                 const std::string& body,
                 const std::string& request_id,
                 misbehaviour fault)
{
    const auto half = std::string_view{body}.substr(0, body.size() / 2);
    switch (fault) {
    case misbehaviour::close_after_running:
        return false;
    case misbehaviour::close_early:
    case misbehaviour::wrong_length:
        client.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + request_id +
                     "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string{half});
        return false;
    case misbehaviour::garbled_chunk:
        client.begin_chunks("application/json");
        client.write_chunk(half);
        client.write("zz\r\nnot a chunk\r\n");
        return false;
    default:
        return client.reply(200, body, {{"X-Request-Id", request_id}});
    }
}

bool refuse(connection& client)
{
    return client.reply(503, R"({"error":"refused"})", {{"X-Request-Run", "no"}});
}

} // namespace hibiscusfall::standins
