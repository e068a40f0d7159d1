#include "fleet.hpp"

#include "caller.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>
#include <thread>

namespace hibiscusfall::review
{

namespace
{

/// Port of the metrics page in the template; all others follow from the settings of the machine.
constexpr std::uint16_t metrics_port = 9464;

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

bool is_free(const std::string& ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(descriptor);
    return bound;
}

/// Fills in the placeholders of a template. One without a value gives nothing.
std::string fill_in(const std::string& text, const std::map<std::string, std::string>& values)
{
    std::string result;
    std::size_t at = 0;
    while (true) {
        const auto begin = text.find("{{", at);
        if (begin == std::string::npos) {
            return result + text.substr(at);
        }
        const auto end = text.find("}}", begin);
        const auto found = values.find(text.substr(begin + 2, end - begin - 2));
        result += text.substr(at, begin - at);
        result += found == values.end() ? "" : found->second;
        at = end + 2;
    }
}

/// Processes that run, for a case that is ended by a signal.
std::array<std::atomic<pid_t>, 64> processes{};

extern "C" void end_all(int)
{
    for (const auto& each : processes) {
        if (each > 0) {
            ::kill(each, SIGKILL);
        }
    }
    ::_exit(could_not_run);
}

void note_start(pid_t process)
{
    std::signal(SIGTERM, end_all);
    std::signal(SIGINT, end_all);
    for (auto& each : processes) {
        pid_t none = 0;
        if (each.compare_exchange_strong(none, process)) {
            return;
        }
    }
}

void note_end(pid_t process)
{
    for (auto& each : processes) {
        pid_t ended = process;
        each.compare_exchange_strong(ended, 0);
    }
}

/// The program that the deploy file names.
std::string program_of(const std::string& root)
{
    const auto text = read_file(root + "/deploy/system.toml");
    const std::string name = "run = \"";
    const auto begin = text.find(name);
    if (begin == std::string::npos) {
        throw std::runtime_error("deploy/system.toml names no program");
    }
    const auto from = begin + name.size();
    return root + "/" + text.substr(from, text.find('"', from) - from);
}

} // namespace

address_block::address_block()
{
    std::random_device random;
    for (int tries = 0; tries < 100; ++tries) {
        this->prefix =
            "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        if (is_free(this->ip(1), metrics_port)) {
            return;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

std::string address_block::ip(int number) const
{
    return this->prefix + std::to_string(number);
}

machine::machine(std::string root, std::string folder, std::map<std::string, std::string> values)
    : repository(std::move(root)), files(std::move(folder)), settings(std::move(values))
{
    std::ofstream{this->files + "/" + this->name() + ".ini"}
        << fill_in(read_file(this->repository + "/deploy/entry.ini"), this->settings);
}

machine::~machine()
{
    this->kill();
}

void machine::start()
{
    const auto program = program_of(this->repository);
    const auto boot = "HIBISCUSFALL_BOOT=" + this->files + "/" + this->name() + ".ini";
    const std::string path = "PATH=/usr/bin:/bin";
    std::array<char*, 2> words{const_cast<char*>(program.c_str()), nullptr};
    std::array<char*, 3> variables{const_cast<char*>(boot.c_str()), const_cast<char*>(path.c_str()), nullptr};
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    constexpr int log_mode = 0644;
    const auto log_file = this->files + "/" + this->name() + ".log";
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawnattr_t attributes{};
    sigset_t none;
    sigset_t all;
    sigemptyset(&none);
    sigfillset(&all);
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
    const int error =
        ::posix_spawn(&this->process, program.c_str(), &actions, &attributes, words.data(), variables.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->process = -1;
        throw std::runtime_error("cannot start " + program);
    }
    note_start(this->process);
}

void machine::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

void machine::kill()
{
    if (this->process <= 0) {
        return;
    }
    ::kill(this->process, SIGKILL);
    int status = 0;
    ::waitpid(this->process, &status, 0);
    note_end(this->process);
    this->process = -1;
}

bool machine::running()
{
    if (this->process <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) == this->process) {
        note_end(this->process);
        this->process = -1;
    }
    return this->process > 0;
}

double machine::resident_mb() const
{
    if (this->process <= 0) {
        return 0;
    }
    std::ifstream status{"/proc/" + std::to_string(this->process) + "/statm"};
    long total = 0;
    long resident = 0;
    status >> total >> resident;
    constexpr double bytes_per_mb = 1024.0 * 1024.0;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytes_per_mb;
}

std::uint16_t machine::caller_port() const
{
    const auto& address = this->settings.at("bind.front");
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

bool machine::ready() const
{
    const auto& address = this->settings.at("bind.ready");
    caller question{this->ip(), static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))};
    if (!question.connect(500)) {
        return false;
    }
    question.send("GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    return question.read_head(clock::now() + std::chrono::milliseconds{500}) && question.status == 200;
}

std::string machine::log() const
{
    return read_file(this->files + "/" + this->name() + ".log");
}

std::vector<std::map<std::string, std::string>>
deployment(const address_block& addresses, const std::vector<std::string>& zones, const std::string& store)
{
    std::string seeds;
    const auto count = static_cast<int>(zones.size());
    for (int i = 1; i <= std::min(count, 3); ++i) {
        seeds += (seeds.empty() ? "" : ",") + addresses.ip(i) + ":8785";
    }
    std::vector<std::map<std::string, std::string>> machines;
    std::map<std::string, int> numbers;
    for (int i = 1; i <= count; ++i) {
        const auto ip = addresses.ip(i);
        const auto& zone = zones[static_cast<std::size_t>(i) - 1];
        machines.push_back({{"node-name", "front-" + zone + "-" + std::to_string(++numbers[zone])},
                            {"zone", zone},
                            {"limits.cpu-share", "0.25"},
                            {"bind.front", ip + ":8783"},
                            {"bind.ready", ip + ":8780"},
                            {"ip", ip},
                            {"port-range.0", "7400"},
                            {"seeds", seeds},
                            {"platform.address", store},
                            {"platform.writes-per-s", "400"},
                            {"platform.reads-per-s", "2000"},
                            {"bounds.config-apply-ms", "2000"},
                            {"bounds.retry-budget-ratio", "0.2"},
                            {"bounds.retry-slack", "58"},
                            {"bounds.budget-window-s", "10"},
                            {"bounds.quota-window-s", "4"},
                            {"bounds.grace-s", "8"}});
    }
    return machines;
}

bool wait_until_ready(const std::vector<machine*>& machines, int limit_ms)
{
    const auto limit = clock::now() + std::chrono::milliseconds{limit_ms};
    while (!std::all_of(machines.begin(), machines.end(), [](const auto* each) { return each->ready(); })) {
        if (clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return true;
}

} // namespace hibiscusfall::review
