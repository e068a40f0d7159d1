#pragma once

#include "job_thread.hpp"
#include "node_parts.hpp"

#include "hibiscusfall/configuration/change_writer.hpp"
#include "hibiscusfall/configuration/keeper.hpp"
#include "hibiscusfall/platform/store_client.hpp"
#include "hibiscusfall/rpc/call_tag.hpp"
#include "hibiscusfall/rpc/fields.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace hibiscusfall::node::detail
{

using configuration::change_outcome;
using configuration::change_result;

/// @brief Connects the keeper of the configuration to peers and to the store, and brings operators' changes
/// into the store.
class configuration_shell
{
public:
    configuration_shell(node_core& given, std::shared_ptr<platform::store_counters> counters);

    /// @name Life
    void start(core::instant now);
    void stop();

    /// @name From other threads
    /// @brief Applies a change to the newest document in the store. Blocks; not for the control thread.
    [[nodiscard]] change_result change(const configuration::change_request& request);

    /// @brief Answers a peer that has a revision and asks for a higher one: a delta where its revision is
    /// remembered, otherwise the whole document.
    [[nodiscard]] rpc::fields answer_peer(std::uint64_t have) const;

private:
    void adopt(configuration::document document, std::string_view source);
    void adopt_text(const std::string& text, std::string_view source);
    void adopt_answer(const rpc::fields& answer);
    void perform(const configuration::keeper_effects& wanted);
    void fetch(const core::instance_id& peer);
    void read_store();
    void notify_members();
    void take_members(core::instant now);
    void hold_watch();
    [[nodiscard]] configuration::writer_step run_step(configuration::change_writer& writer,
                                                      const configuration::writer_step& step,
                                                      std::int64_t& read_at);

    node_core& parts;
    platform::store_client store;
    rpc::call_key key;
    configuration::keeper keeper; ///< Of the control thread.

    mutable std::mutex mutex;
    std::deque<std::shared_ptr<const configuration::document>> recent; ///< For deltas, oldest first.
    std::function<void()> end_watch;

    std::atomic<bool> stopping = false;
    std::atomic<bool> wants_watch = false;
    job_thread fetcher;
    job_thread reader;
    std::thread watcher;
};

} // namespace hibiscusfall::node::detail
