// The router daemon: reads its settings, runs one node, ends on SIGTERM or SIGINT.
#include "hibiscusfall/node/router_node.hpp"
#include "hibiscusfall/settings/router_settings.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <CLI/CLI.hpp>

#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

namespace
{

using namespace hibiscusfall;

constexpr int exit_usage = 2;

/// Sent by this process to itself when its start has to be repeated under a higher number.
constexpr int start_again_signal = SIGUSR1;

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

telemetry::log_level to_log_level(const std::string& name)
{
    if (name == "error") {
        return telemetry::log_level::error;
    }
    return name == "decision" ? telemetry::log_level::decision : telemetry::log_level::event;
}

sigset_t block_end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, start_again_signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Prints the settings reference as a Markdown table.
void describe_settings()
{
    std::cout << "| section | key | unit | default | meaning |\n|---|---|---|---|---|\n";
    for (const auto& entry : settings::describe_router_settings()) {
        std::cout << "| " << entry.section << " | " << entry.key << " | " << entry.unit << " | "
                  << (entry.fallback.empty() ? "-" : entry.fallback) << " | " << entry.text << " |\n";
    }
}

/// Ends the process at once at a second signal.
void await_second_signal(sigset_t signals)
{
    sigdelset(&signals, start_again_signal);
    std::thread([signals] {
        int again = 0;
        sigwait(&signals, &again);
        std::_Exit(EXIT_FAILURE);
    }).detach();
}

/// Runs one start of the node until a signal.
/// @param incarnation The lowest number of this start; receives the one of the next, when it is to be
/// repeated.
/// @returns The exit code; nothing when the node is to be started again.
std::optional<int>
run_once(const settings::router_settings& settings, const sigset_t& signals, std::uint64_t& incarnation)
{
    std::atomic<std::uint64_t> outdated_by = 0;
    node::router_node node(settings,
                           {.lowest_incarnation = incarnation, .on_outdated = [&](std::uint64_t earlier) {
                                outdated_by = earlier;
                                ::kill(::getpid(), start_again_signal);
                            }});
    if (const auto problem = node.start()) {
        std::cerr << "hibiscusfall-router: " << *problem << '\n';
        std::_Exit(EXIT_FAILURE);
    }
    int received = 0;
    while (sigwait(&signals, &received) != 0 || (received == start_again_signal && outdated_by == 0)) {
    }
    if (received == start_again_signal) {
        node.shut_down();
        incarnation = outdated_by + 1;
        return std::nullopt;
    }
    await_second_signal(signals);
    return node.shut_down() ? EXIT_SUCCESS : EXIT_FAILURE;
}

int run(const settings::router_settings& settings)
{
    const auto signals = block_end_signals();
    telemetry::start_log(settings.id.view(), to_log_level(settings.log_level));
    std::uint64_t incarnation = 0;
    while (true) {
        if (const auto code = run_once(settings, signals, incarnation)) {
            return *code;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Router of a fleet that shares capacity fairly between teams"};
    std::string path;
    bool check_only = false;
    bool describe_only = false;
    app.add_option("--settings", path, "settings file (INI)")->check(CLI::ExistingFile);
    app.add_flag("--check-settings", check_only, "check the settings file and exit");
    app.add_flag("--describe-settings", describe_only, "print every setting with unit and default, and exit");
    app.set_version_flag("--version", HIBISCUSFALL_VERSION);
    CLI11_PARSE(app, argc, argv);

    if (describe_only) {
        describe_settings();
        return EXIT_SUCCESS;
    }
    if (path.empty()) {
        std::cerr << "--settings is required; --help says more\n";
        return exit_usage;
    }
    const auto reading = settings::read_router_settings(read_file(path));
    for (const auto& error : reading.errors) {
        std::cerr << path << ": " << to_string(error) << '\n';
    }
    if (!reading) {
        return exit_usage;
    }
    if (check_only) {
        std::cout << path << ": settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run(reading.settings);
}
