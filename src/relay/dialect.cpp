#include "hibiscusfall/relay/dialect.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <vector>

namespace hibiscusfall::relay
{

void remove_connection_headers(http::fields& fields, bool (*kept)(std::string_view name))
{
    std::vector<std::string> listed_headers;
    const auto range = fields.equal_range(http::field::connection);
    for (auto place = range.first; place != range.second; ++place) {
        for (const auto token : http::token_list{place->value()}) {
            if (!kept(to_view(token))) {
                listed_headers.emplace_back(token);
            }
        }
    }
    for (const auto& name : listed_headers) {
        fields.erase(name);
    }
    for (const auto name : {http::field::connection,
                            http::field::keep_alive,
                            http::field::proxy_authenticate,
                            http::field::proxy_authorization,
                            http::field::proxy_connection,
                            http::field::te,
                            http::field::trailer,
                            http::field::transfer_encoding,
                            http::field::upgrade}) {
        fields.erase(name);
    }
}

} // namespace hibiscusfall::relay
