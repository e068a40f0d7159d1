#include "platform_store.hpp"

#include "testbed/child_process.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using testing::platform_store;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

std::uint16_t free_port()
{
    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    return acceptor.local_endpoint().port();
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

/// @brief Runs an entry process with its settings file and log in a temporary folder.
class entry_process
{
public:
    explicit entry_process(const core::address& store_address)
        : folder(std::filesystem::temp_directory_path() / ("entry-test-" + std::to_string(::getpid()))),
          readiness(free_port()), store(core::to_string(store_address))
    {
        std::filesystem::create_directories(this->folder);
        this->write_settings("");
        this->process.emplace(testbed::child_process_options{
            .program = std::string{HIBISCUSFALL_PROGRAMS} + "/hibiscusfall-entry",
            .arguments = {"--settings", (this->folder / "entry.ini").string()},
            .log_file = (this->folder / "log").string()});
    }

    ~entry_process()
    {
        this->process.reset();
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    void write_settings(const std::string& extra_settings)
    {
        std::ofstream{this->folder / "entry.ini"}
            << "[instance]\nid = e1\nfailure_domain = north\n[listen]\ncallers = 127.0.0.1:" << this->callers
            << "\nreadiness = 127.0.0.1:" << this->readiness << "\ninner = 127.0.0.1:" << this->inner
            << "\n[store]\naddress = " << this->store << "\n[shutdown]\nlimit_s = 6\n"
            << extra_settings;
    }

    [[nodiscard]] bool ready() const { return status(this->readiness) == "200"; }

    /// @brief Status of the answer to a caller's request for a path that no configuration has.
    [[nodiscard]] std::string unknown_path_status() const { return status(this->callers); }

    [[nodiscard]] bool logged(std::string_view text) const
    {
        std::ifstream file{this->folder / "log"};
        const std::string all{std::istreambuf_iterator<char>{file}, {}};
        return all.find(text) != std::string::npos;
    }

    [[nodiscard]] std::uint16_t caller_port() const { return this->callers; }

    testbed::child_process& child() { return *this->process; }

private:
    /// Status of the answer to a GET request; empty without an answer.
    static std::string status(std::uint16_t port)
    {
        asio::io_context io;
        tcp::socket socket{io};
        boost::system::error_code error;
        socket.connect({asio::ip::address_v4::loopback(), port}, error);
        if (error) {
            return {};
        }
        constexpr std::string_view request =
            "GET / HTTP/1.1\r\nHost: e\r\nX-Hibiscusfall-Request-Id: 9c41d07be2a35f68\r\n\r\n";
        asio::write(socket, asio::buffer(request), error);
        std::string answer(12, '\0');
        asio::read(socket, asio::buffer(answer), error);
        return answer.starts_with("HTTP/1.1 ") ? answer.substr(9) : std::string{};
    }

    std::filesystem::path folder;
    std::uint16_t readiness;
    std::uint16_t callers = free_port();
    std::uint16_t inner = free_port();
    std::string store;
    std::optional<testbed::child_process> process;
};

constexpr auto empty_configuration = R"({"version":1,"routes":[],"services":[],"tenants":[]})";

} // namespace

BOOST_AUTO_TEST_SUITE(entry_process_test)

BOOST_AUTO_TEST_CASE(it_is_ready_once_it_has_read_the_store_and_ends_by_itself_when_told_to)
{
    platform_store store;
    store.set_fault(platform_store::fault::unavailable);
    entry_process entry{store.address()};
    std::this_thread::sleep_for(700ms);
    BOOST_TEST(!entry.ready());
    store.put("op/config", empty_configuration);
    store.set_fault(platform_store::fault::none);
    BOOST_TEST(eventually([&] { return entry.ready(); }, 5s));
    entry.child().signal(SIGTERM);
    BOOST_TEST(eventually([&] { return !entry.ready(); }, 1s));
    const auto code = entry.child().wait(7s);
    BOOST_REQUIRE(code.has_value());
    BOOST_TEST(*code == 0);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_is_still_arriving_when_the_process_ends_is_refused_before_it_would_be_killed)
{
    platform_store store;
    store.put("op/config", empty_configuration);
    entry_process entry{store.address()};
    BOOST_REQUIRE(eventually([&] { return entry.ready(); }, 5s));
    asio::io_context io;
    tcp::socket caller{io};
    caller.connect({asio::ip::address_v4::loopback(), entry.caller_port()});
    constexpr std::string_view head = "POST / HTTP/1.1\r\nHost: e\r\nX-Hibiscusfall-Request-Id: "
                                      "9c41d07be2a35f68\r\nContent-Length: 9\r\n\r\n";
    asio::write(caller, asio::buffer(head));
    const auto stop = std::chrono::steady_clock::now();
    entry.child().signal(SIGTERM);
    boost::system::error_code error;
    for (int i = 0; i < 5; ++i) {
        std::this_thread::sleep_for(1s);
        asio::write(caller, asio::buffer("x", 1), error);
    }
    std::string answer(12, '\0');
    asio::read(caller, asio::buffer(answer), error);
    BOOST_TEST(answer == "HTTP/1.1 503");
    const auto code = entry.child().wait(2s);
    BOOST_REQUIRE(code.has_value());
    BOOST_TEST(*code == 0);
    BOOST_TEST((std::chrono::steady_clock::now() - stop < 6s)); // limit_s
}

BOOST_AUTO_TEST_CASE(an_unknown_path_is_not_denied_until_a_restored_store_has_settled)
{
    platform_store store;
    store.put("op/config", empty_configuration);
    entry_process entry{store.address()};
    BOOST_TEST(eventually([&] { return entry.ready(); }, 5s));
    BOOST_TEST(eventually([&] { return entry.unknown_path_status() == "404"; }, 3s));
    store.restore(store.snapshot());
    BOOST_TEST(eventually([&] { return entry.unknown_path_status() == "503"; }, 3s));
    BOOST_TEST(eventually([&] { return entry.unknown_path_status() == "404"; }, 12s));
}

BOOST_AUTO_TEST_CASE(a_hangup_or_a_changed_file_reloads_the_settings)
{
    platform_store store;
    store.put("op/config", empty_configuration);
    entry_process entry{store.address()};
    BOOST_TEST(eventually([&] { return entry.ready(); }, 5s));
    entry.child().signal(SIGHUP);
    BOOST_TEST(eventually([&] { return entry.logged("event=reload cause=signal outcome=taken"); }, 3s));
    entry.write_settings("[placement]\npolicy = nonsense\n");
    BOOST_TEST(eventually([&] { return entry.logged("outcome=\"kept the old settings\""); }, 4s));
    BOOST_TEST(entry.child().running());
    BOOST_TEST(entry.ready());
}

BOOST_AUTO_TEST_SUITE_END()
