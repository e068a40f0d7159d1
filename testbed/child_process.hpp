#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hibiscusfall::testbed
{

/// @brief What to run, and where its output goes.
struct child_process_options {
    std::string program;
    std::vector<std::string> arguments;
    std::string log_file; ///< Receives standard output and standard error.
};

/// @brief One process that this program started. It is killed when this object ends.
///
/// @code
/// child_process store({.program = programs + "/standin_store", .arguments = {"--port", "2379"}});
/// store.signal(SIGTERM);
/// const auto code = store.wait(std::chrono::seconds{5});
/// @endcode
class child_process
{
public:
    explicit child_process(const child_process_options& options);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    [[nodiscard]] pid_t pid() const noexcept { return this->process; }

    /// @brief Whether it has not ended yet.
    [[nodiscard]] bool running();

    /// @brief Sends a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT; nothing once it has ended.
    void signal(int number);

    /// @brief Waits for the end.
    /// @returns The exit code, minus the signal's number when a signal ended it, or nothing after the limit.
    std::optional<int> wait(std::chrono::milliseconds limit);

private:
    void kill_and_reap() noexcept;

    pid_t process = -1;
    std::optional<int> exit_code;
};

} // namespace hibiscusfall::testbed
