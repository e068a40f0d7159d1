#pragma once

#include "hibiscusfall/configuration/document.hpp"

#include <memory>
#include <mutex>
#include <utility>

namespace hibiscusfall::node
{

/// @brief The configuration in force, readable from any thread. It only moves to higher revisions.
class published_configuration
{
public:
    [[nodiscard]] std::shared_ptr<const configuration::document> current() const
    {
        const std::lock_guard lock(this->mutex);
        return this->document;
    }

    /// @brief Puts a document in force if its revision is higher than the present one.
    /// @returns Whether it was put in force.
    bool publish(configuration::document next)
    {
        const std::lock_guard lock(this->mutex);
        if (this->document && next.revision <= this->document->revision) {
            return false;
        }
        this->document = std::make_shared<const configuration::document>(std::move(next));
        return true;
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<const configuration::document> document;
};

} // namespace hibiscusfall::node
