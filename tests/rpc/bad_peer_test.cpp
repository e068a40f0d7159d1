#include "hibiscusfall/rpc/rpc_client.hpp"
#include "raw_peer.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace hibiscusfall::rpc;
using boost::asio::ip::tcp;

namespace
{

const core::address address = own_address(17202);

client_options impatient()
{
    return {.key = {},
            .connect_timeout = std::chrono::milliseconds{500},
            .answer_timeout = std::chrono::milliseconds{500},
            .max_answer_bytes = 100000};
}

/// For peers that end their answers themselves, however slow the machine is.
client_options patient()
{
    auto options = impatient();
    options.connect_timeout = std::chrono::seconds{20};
    options.answer_timeout = std::chrono::seconds{20};
    return options;
}

failure ask(const client_options& options = impatient())
{
    const auto answer = call(options, {address.host, address.port}, "any", {});
    BOOST_TEST_MESSAGE(to_string(answer.error));
    return answer.error.kind;
}

/// What a call ends with at a peer that answers with these bytes and closes.
failure ask_with_answer(const std::string& bytes)
{
    const raw_peer peer(address, [&bytes](tcp::socket& socket, const std::string&) {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    });
    return ask(patient());
}

std::string with_length(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a call ends with when the answer bears this body and a good tag, or that of another call.
failure ask_with_signed(const std::string& body, bool of_another_call = false)
{
    const raw_peer peer(address, [&](tcp::socket& socket, const std::string& question) {
        const auto name = question.find(tag_header);
        const auto begin = question.find(' ', name) + 1;
        const auto stamp = question.substr(begin, question.find(' ', begin) - begin);
        const auto tag = tag_of({}, call_side::answer, of_another_call ? make_stamp(1) : stamp, body);
        const auto bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
                           tag_header + ": " + tag + "\r\n\r\n" + body;
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    });
    return ask(patient());
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_peer_test)

BOOST_AUTO_TEST_CASE(no_peer_is_unreachable)
{
    BOOST_TEST((ask() == failure::unreachable));
}

BOOST_AUTO_TEST_CASE(a_silent_peer_and_one_that_stops_midway_end_in_time)
{
    for (const std::string& begin :
         {std::string{}, std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")}) {
        const raw_peer peer(address, [&begin](tcp::socket& socket, const std::string&) {
            boost::system::error_code ended;
            boost::asio::write(socket, boost::asio::buffer(begin), ended);
            std::string rest;
            boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ended); // Until the caller gives up.
        });
        BOOST_TEST((ask() == failure::silent));
    }
}

BOOST_AUTO_TEST_CASE(a_peer_that_trickles_does_not_lengthen_the_time)
{
    const raw_peer peer(address, [](tcp::socket& socket, const std::string&) {
        boost::system::error_code ended;
        boost::asio::write(
            socket,
            boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n")),
            ended);
        while (!ended) {
            boost::asio::write(socket, boost::asio::buffer(std::string(1, ' ')), ended);
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
    });
    BOOST_TEST((ask() == failure::silent));
}

BOOST_AUTO_TEST_CASE(a_peer_that_closes_midway_is_told_from_a_silent_one)
{
    BOOST_TEST((ask_with_answer("") == failure::closed));
    BOOST_TEST((ask_with_answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{") == failure::closed));
}

BOOST_AUTO_TEST_CASE(an_endless_answer_is_cut_at_the_limit)
{
    BOOST_TEST((ask_with_answer(with_length(std::string(1000000, 'x'))) == failure::oversize));
}

BOOST_AUTO_TEST_CASE(garbage_and_unsigned_answers_are_unreadable)
{
    BOOST_TEST((ask_with_answer("\x01\x02 no HTTP\r\n\r\n") == failure::unreadable));
    BOOST_TEST(
        (ask_with_answer(with_length(R"({"jsonrpc":"2.0","id":1,"result":{}})")) == failure::unreadable));
}

BOOST_AUTO_TEST_CASE(the_answer_to_another_call_is_not_taken)
{
    const std::string body = R"({"jsonrpc":"2.0","id":1,"result":{}})";
    BOOST_TEST((ask_with_signed(body) == failure::none));
    BOOST_TEST((ask_with_signed(body, true) == failure::unreadable));
}

BOOST_AUTO_TEST_CASE(signed_answers_of_another_shape_do_no_harm)
{
    for (const std::string& body : {std::string("nonsense"),
                                    std::string(20000, '['),
                                    std::string(R"({"jsonrpc":"2.0","id":1})"),
                                    std::string(R"({"jsonrpc":{},"id":1,"result":{}})"),
                                    std::string(R"({"jsonrpc":"2.0","id":1,"result":[1]})"),
                                    std::string(R"({"jsonrpc":"2.0","id":1,"result":{"a":-1}})")}) {
        BOOST_TEST((ask_with_signed(body) == failure::unreadable), body.substr(0, 40));
    }
    for (const std::string& error : {R"({"code":"x","message":3})", R"([])", R"({"code":99999999999})"}) {
        BOOST_TEST((ask_with_signed(R"({"jsonrpc":"2.0","id":1,"error":)" + error + "}") != failure::none));
    }
}

BOOST_AUTO_TEST_SUITE_END()
