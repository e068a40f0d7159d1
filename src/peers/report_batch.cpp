#include "hibiscusfall/peers/report_batch.hpp"

#include <utility>

namespace hibiscusfall::peers
{

std::string add(report_batch& batch, std::string_view reports, core::instant now)
{
    std::string full;
    if (!batch.reports.empty() && batch.reports.size() + reports.size() > max_batch_bytes) {
        full = std::exchange(batch.reports, {});
    }
    if (batch.reports.empty()) {
        batch.started_at = now;
    }
    batch.reports += reports;
    return full;
}

} // namespace hibiscusfall::peers
