#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hibiscusfall::review
{

/// @brief Addresses on the loopback network that nothing uses: one for each machine and each server.
class address_block
{
public:
    address_block();

    /// @brief The address with this number, from 1.
    [[nodiscard]] std::string ip(int number) const;

private:
    std::string prefix;
};

/// @brief One machine of the deployment, which runs the program of the deploy file.
/// @remarks Its settings are the template of the deploy file, filled in as the platform does. The process
/// starts in the repository's root. It is killed when this object ends.
class machine
{
public:
    /// @param root The repository's root.
    /// @param folder Temporary folder for settings and log.
    /// @param values Values of the template's placeholders, by name.
    machine(std::string root, std::string folder, std::map<std::string, std::string> values);
    ~machine();
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    void start();
    void signal(int number) const;

    /// @brief Kills the process and waits for its end.
    void kill();

    /// @brief Whether the process runs; one that has ended is waited for.
    [[nodiscard]] bool running();

    /// @brief Resident memory of the process, in MB of 1024 x 1024 bytes; zero if it does not run.
    [[nodiscard]] double resident_mb() const;

    /// @brief Whether the balancer's question is answered with 200.
    [[nodiscard]] bool ready() const;

    [[nodiscard]] const std::string& ip() const { return this->settings.at("ip"); }
    [[nodiscard]] const std::string& name() const { return this->settings.at("node-name"); }
    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::string log() const;

private:
    std::string repository;
    std::string files;
    std::map<std::string, std::string> settings;
    pid_t process = -1;
};

/// @brief The machines of a small deployment before one store.
/// @param zones Zone of each machine.
std::vector<std::map<std::string, std::string>>
deployment(const address_block& addresses, const std::vector<std::string>& zones, const std::string& store);

/// @brief Waits until all machines answer that they are ready.
bool wait_until_ready(const std::vector<machine*>& machines, int limit_ms);

} // namespace hibiscusfall::review
