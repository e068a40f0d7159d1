#include "fleet.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace standin
{

namespace
{

constexpr milliseconds heartbeat{1200}; // heartbeat-ms

} // namespace

record::record(const std::string& path) : file(path) {}

double record::now() const
{
    return seconds_between(begin, steady::now());
}

void record::line(const std::string& text)
{
    const std::lock_guard lock{guard};
    file << std::fixed << std::setprecision(3) << now() << ' ' << text << '\n' << std::flush;
}

entry::entry(options chosen)
    : given(std::move(chosen)), callers{given.host, free_port(given.host)},
      readiness{given.host, free_port(given.host)}, metrics{given.host, free_port(given.host)},
      settings(given.folder + "/" + given.name + ".ini")
{
    std::ofstream file{settings};
    file << "[instance]\nid = " << given.name << "\nfailure_domain = " << given.zone
         << "\ncapacity = 0.25\nmemory_mb = 260\ndescriptors = 4200\n"
         << "regions = zone-a:region,zone-b:region,zone-c:region\n\n[listen]\ncallers = " << callers.text()
         << "\nreadiness = " << readiness.text() << "\ninner = " << given.host << ':' << given.inner_port
         << "\nmetrics = " << metrics.text() << "\n\n[peers]\nseeds = ";
    for (std::size_t i = 0; i < given.seeds.size(); ++i) {
        file << (i == 0 ? "" : ",") << given.seeds[i] << ":8785";
    }
    file
        << "\n\n[store]\naddress = " << given.store.text()
        << "\nwrites_per_s = 400\nreads_per_s = 2000\n\n[configuration]\nbound_ms = 2000\n\n"
        << "[repeats]\nratio = 0.2\nslack = 52\nwindow_s = 10\n\n[cold_endpoints]\novershoot = \nslack = \n\n"
        << "[shares]\nwindow_s = 4\n\n[shutdown]\nlimit_s = 8\n";
}

entry::~entry()
{
    if (process > 0) {
        ::kill(process, SIGCONT);
        end(SIGKILL);
    }
}

void entry::start()
{
    const auto log = given.folder + "/" + given.name + ".log";
    process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("HIBISCUSFALL_BOOT", settings.c_str(), 1);
        ::execl("target/bin/hibiscusfall-entry", "target/bin/hibiscusfall-entry", nullptr);
        ::_exit(127);
    }
}

void entry::signal(int number) const
{
    if (process > 0) {
        ::kill(process, number);
    }
}

void entry::end(int number)
{
    if (process > 0) {
        ::kill(process, number);
        ::waitpid(process, nullptr, 0);
        process = 0;
    }
}

bool entry::is_running()
{
    int status = 0;
    if (process > 0 && ::waitpid(process, &status, WNOHANG) == process) {
        process = 0;
    }
    return process > 0;
}

bool entry::wait_until_ready(milliseconds limit) const
{
    const auto until = steady::now() + limit;
    while (steady::now() < until) {
        if (const auto client = connect_to(readiness, milliseconds{200})) {
            client->send("GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto response = client->receive(milliseconds{500}, true);
            if (response && response->status() == 200) {
                return true;
            }
        }
        sleep_for(milliseconds{50});
    }
    return false;
}

server::server(options chosen, store& registry_to_use, handler run)
    : given(std::move(chosen)), registry(registry_to_use),
      born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
               .count())
{
    const auto report =
        R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,)"
        R"("running":0,"kv-used":0,"kv-total":600000,"handles":0,"born":)" +
        std::to_string(born) + "}";
    socket = std::make_unique<listener>(
        given.at, [run = std::move(run), report, id = given.id](connection& client) {
            while (auto request = client.receive(milliseconds{20000}, false)) {
                if (!request->whole) {
                    return;
                }
                if (request->target() == "/api/report") {
                    client.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                std::to_string(report.size()) + "\r\n\r\n" + report);
                    continue;
                }
                const auto expected = request->header("x-hibiscusfall-expect-instance");
                if (!expected.empty() && expected != id) {
                    client.send("HTTP/1.1 421 Misdirected Request\r\nX-Hibiscusfall-Instance-Id: " + id +
                                "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                run(client, *request);
                if (!client.is_open()) {
                    return;
                }
            }
        });
}

server::~server()
{
    ended = true;
    if (beats.joinable()) {
        beats.join();
    }
    socket->stop();
}

void server::write_entry()
{
    ++sequence;
    registry.put("servers/" + given.id,
                 nlohmann::json{{"service", given.service},
                                {"address", given.at.text()},
                                {"zone", given.zone},
                                {"version", given.version},
                                {"slots", given.slots},
                                {"state", state},
                                {"cold-left-ms", 0},
                                {"born", born},
                                {"sequence", sequence}}
                     .dump());
}

void server::register_entry(const std::string& shown_state)
{
    const std::lock_guard lock{guard};
    state = shown_state;
    write_entry();
    if (!beats.joinable()) {
        beats = std::thread{[this] {
            auto next = steady::now();
            while (!ended) {
                next += heartbeat;
                while (!ended && steady::now() < next) {
                    sleep_for(milliseconds{20});
                    const std::lock_guard inner{guard};
                    if (lapses_at && steady::now() >= *lapses_at) {
                        lapses_at.reset();
                        registry.remove("servers/" + given.id);
                    }
                }
                const std::lock_guard inner{guard};
                if (!ended && !state.empty()) {
                    write_entry();
                }
            }
        }};
    }
}

instant server::leave_store()
{
    const std::lock_guard lock{guard};
    state.clear();
    return registry.remove("servers/" + given.id);
}

void server::fall_silent()
{
    const std::lock_guard lock{guard};
    state.clear();
    lapses_at = steady::now() + 3 * heartbeat;
}

void server::crash()
{
    fall_silent();
    socket->abort();
}

temporary_folder::temporary_folder()
{
    auto name = (std::filesystem::temp_directory_path() / "hibiscusfall-review-XXXXXX").string();
    path = ::mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

temporary_folder::~temporary_folder()
{
    remove();
}

void temporary_folder::remove() const
{
    if (!path.empty() && std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
}

bool all_running(const std::vector<std::unique_ptr<entry>>& entries, std::size_t first)
{
    bool result = true;
    for (auto i = first; i < entries.size(); ++i) {
        result = entries[i]->is_running() && result;
    }
    return result;
}

bool is_calm(int count, char** arguments)
{
    return count > 2 && std::string_view{arguments[2]} == "0";
}

std::string loopback_host(int number)
{
    const auto process = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + process / 250 % 128) + "." + std::to_string(1 + process % 250) + "." +
           std::to_string(number + 1);
}

std::string signed_head(const std::string& id, const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscusfall-Request-Id: " + id +
           "\r\nX-Hibiscusfall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + more;
}

} // namespace standin
