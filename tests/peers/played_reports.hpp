#pragma once

#include "hibiscusfall/peers/load_report.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief What instances know of crashes, and their reports to each other, which may be lost or late.
class played_reports
{
public:
    /// @brief How reports fare.
    struct conditions {
        int instances = 6;
        double loss = 0.2; ///< Share of lost reports; each thing is reported twice.
        core::duration max_delay = std::chrono::milliseconds{60};
        core::duration full_interval =
            std::chrono::milliseconds{500};                 ///< Between an instance's full reports.
        core::duration step = std::chrono::milliseconds{5}; ///< Of the played time.
        core::instant cut_from{};  ///< From here the halves of the instances do not hear each other.
        core::instant cut_until{}; ///< Until here.
        core::instant
            last_joins{}; ///< The last instance hears nothing before this, and full reports after it.
    };

    played_reports(const conditions& options, std::mt19937& random);

    /// @brief Reports new findings of an instance to the others, twice.
    void report(std::size_t from,
                const std::vector<dispatch::crash_suspect>& suspects,
                const std::vector<std::uint64_t>& exonerated,
                core::instant now,
                const std::vector<dispatch::crash_cause>& tried = {});

    /// @brief Sends the full reports that are due, each with one of its sender's causes.
    void send_full(core::instant now);

    /// @brief Applies the reports that arrive.
    void deliver(core::instant now);

    std::vector<dispatch::crash_attribution> known; ///< By instance.

private:
    struct report_under_way {
        std::size_t to = 0;
        peers::crash_findings findings;
    };

    void send(std::size_t from, const peers::crash_findings& findings, core::instant now, bool full);
    [[nodiscard]] bool hears(std::size_t to, std::size_t from, core::instant now, bool full) const;

    conditions options;
    std::mt19937& random;
    std::multimap<core::instant, report_under_way> under_way;
};

} // namespace hibiscusfall::testing
