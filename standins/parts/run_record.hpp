#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace hibiscusfall::standins
{

/// @brief What a plain service ran, so that doubled runs are seen.
class run_record
{
public:
    struct counts {
        std::map<std::string, std::uint64_t> by_key;
        std::map<std::string, std::uint64_t> by_request;
        std::uint64_t total = 0;
    };

    void add(const std::string& key, const std::string& request_id)
    {
        const std::lock_guard lock(this->mutex);
        if (!key.empty()) {
            ++this->kept.by_key[key];
        }
        ++this->kept.by_request[request_id];
        ++this->kept.total;
    }

    [[nodiscard]] counts all() const
    {
        const std::lock_guard lock(this->mutex);
        return this->kept;
    }

private:
    mutable std::mutex mutex;
    counts kept;
};

} // namespace hibiscusfall::standins
