#include "hibiscusfall/dispatch/request_digest.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace hibiscusfall;
using dispatch::digest_of;
using dispatch::request_identity;

namespace
{

constexpr request_identity request{.service = "desk",
                                   .method = "POST",
                                   .host = "a.example",
                                   .target = "/x/1?y=2",
                                   .team = 7,
                                   .body = "text"};

template <class change_function>
request_identity changed(change_function change)
{
    auto other = request;
    change(other);
    return other;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_digest_test)

BOOST_AUTO_TEST_CASE(requests_that_differ_in_one_field_or_in_a_field_border_are_told_apart)
{
    const std::vector<request_identity> others{changed([](auto& other) { other.service = "print"; }),
                                               changed([](auto& other) { other.method = "PUT"; }),
                                               changed([](auto& other) { other.host = "b.example"; }),
                                               changed([](auto& other) { other.target = "/x/1?y=3"; }),
                                               changed([](auto& other) { other.team = 8; }),
                                               changed([](auto& other) { other.body = "Text"; }),
                                               changed([](auto& other) { other.body = ""; }),
                                               changed([](auto& other) {
                                                   other.target = "/x/1?y=2t";
                                                   other.body = "ext";
                                               }),
                                               changed([](auto& other) {
                                                   other.host = "a.example/x";
                                                   other.target = "/1?y=2";
                                               }),
                                               {}};
    std::set<std::uint64_t> digests{digest_of(request)};
    for (const auto& each : others) {
        BOOST_TEST(digests.insert(digest_of(each)).second);
    }
    BOOST_TEST(digest_of(request) == digest_of(request));
}

BOOST_AUTO_TEST_SUITE_END()
