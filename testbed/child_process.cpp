#include "testbed/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace hibiscusfall::testbed
{

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds{5};

struct spawn_settings {
    posix_spawn_file_actions_t actions{};
    posix_spawnattr_t attributes{};

    explicit spawn_settings(const std::string& log_file)
    {
        constexpr int log_mode = 0644;
        const char* path = log_file.empty() ? "/dev/null" : log_file.c_str();
        posix_spawn_file_actions_init(&this->actions);
        posix_spawn_file_actions_addopen(
            &this->actions, STDOUT_FILENO, path, O_WRONLY | O_CREAT | O_APPEND, log_mode);
        posix_spawn_file_actions_adddup2(&this->actions, STDOUT_FILENO, STDERR_FILENO);
        sigset_t none;
        sigset_t all;
        sigemptyset(&none);
        sigfillset(&all);
        posix_spawnattr_init(&this->attributes);
        posix_spawnattr_setsigmask(&this->attributes, &none);
        posix_spawnattr_setsigdefault(&this->attributes, &all);
        // The kernel hangs up stopped processes when their process group is orphaned, for example by the end
        // of the shell that started the tests. A session of its own protects the child from that.
        posix_spawnattr_setflags(&this->attributes,
                                 POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF | POSIX_SPAWN_SETSID);
    }
    ~spawn_settings()
    {
        posix_spawn_file_actions_destroy(&this->actions);
        posix_spawnattr_destroy(&this->attributes);
    }
    spawn_settings(const spawn_settings&) = delete;
    spawn_settings& operator=(const spawn_settings&) = delete;
};

} // namespace

child_process::child_process(const child_process_options& options)
{
    std::vector<std::string> words{options.program};
    words.insert(words.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    const spawn_settings settings(options.log_file);
    const int error = posix_spawn(&this->process,
                                  options.program.c_str(),
                                  &settings.actions,
                                  &settings.attributes,
                                  pointers.data(),
                                  environ);
    if (error != 0) {
        this->process = -1;
        throw std::runtime_error("cannot start " + options.program + ": error " + std::to_string(error));
    }
}

child_process::~child_process()
{
    this->kill_and_reap();
}

child_process::child_process(child_process&& other) noexcept
    : process(std::exchange(other.process, -1)), exit_code(other.exit_code)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        this->kill_and_reap();
        this->process = std::exchange(other.process, -1);
        this->exit_code = other.exit_code;
    }
    return *this;
}

void child_process::kill_and_reap() noexcept
{
    if (this->process < 0 || this->exit_code) {
        return;
    }
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    this->process = -1;
}

bool child_process::running()
{
    return this->process >= 0 && !this->wait(std::chrono::milliseconds::zero());
}

void child_process::signal(int number)
{
    if (this->running()) {
        ::kill(this->process, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!this->exit_code) {
        int status = 0;
        if (::waitpid(this->process, &status, WNOHANG) == this->process) {
            this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return this->exit_code;
}

} // namespace hibiscusfall::testbed
