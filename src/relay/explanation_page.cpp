#include "explanation_page.hpp"

#include "hibiscusfall/relay/explanation.hpp"

#include <algorithm>
#include <string>

namespace hibiscusfall::relay::detail
{

std::optional<std::string_view> explanation_query(std::string_view target)
{
    const auto mark = std::min(target.find('?'), target.size());
    if (target.substr(0, mark) != "/explain") {
        return std::nullopt;
    }
    return target.substr(std::min(mark + 1, target.size()));
}

page explanation_page(const relay_server& server, std::string_view query)
{
    std::string problem;
    const auto request = read_explained_request(query, problem);
    if (!request) {
        constexpr unsigned bad_request = 400;
        return {.status = bad_request, .body = problem};
    }
    return {.content_type = "application/json",
            .body = to_json(explain(server, *request, event_loop::now()), *request)};
}

} // namespace hibiscusfall::relay::detail
