#include "testbed/metric.hpp"

#include "testbed/http_caller.hpp"

#include <cstdlib>
#include <string>

namespace hibiscusfall::testbed
{

double read_metric(const core::address& operators, std::string_view name)
{
    const auto page = get(operators, "/metrics").body;
    const auto line = "\n" + std::string{name} + " ";
    const auto at = page.find(line);
    return at == std::string::npos ? -1 : std::strtod(page.c_str() + at + line.size(), nullptr);
}

} // namespace hibiscusfall::testbed
