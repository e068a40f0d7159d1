#include "hibiscusfall/dispatch/request_digest.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace hibiscusfall;
using dispatch::digest_of;
using dispatch::request_identity;

BOOST_AUTO_TEST_SUITE(request_digest_test)

BOOST_AUTO_TEST_CASE(requests_that_differ_in_one_field_or_in_a_field_border_are_told_apart)
{
    const request_identity request{.service = "desk",
                                   .method = "POST",
                                   .host = "a.example",
                                   .target = "/x/1?y=2",
                                   .team = 7,
                                   .body = "text"};
    const std::vector<request_identity> others{{.service = "desk",
                                                .method = "PUT",
                                                .host = "a.example",
                                                .target = "/x/1?y=2",
                                                .team = 7,
                                                .body = "text"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "b.example",
                                                .target = "/x/1?y=2",
                                                .team = 7,
                                                .body = "text"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "a.example",
                                                .target = "/x/1?y=3",
                                                .team = 7,
                                                .body = "text"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "a.example",
                                                .target = "/x/1?y=2",
                                                .team = 8,
                                                .body = "text"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "a.example",
                                                .target = "/x/1?y=2",
                                                .team = 7,
                                                .body = "Text"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "a.example",
                                                .target = "/x/1?y=2t",
                                                .team = 7,
                                                .body = "ext"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "a.example/x",
                                                .target = "/1?y=2",
                                                .team = 7,
                                                .body = "text"},
                                               {.service = "desk",
                                                .method = "POST",
                                                .host = "a.example",
                                                .target = "/x/1?y=2",
                                                .team = 7,
                                                .body = ""},
                                               {.service = "print",
                                                .method = "POST",
                                                .host = "a.example",
                                                .target = "/x/1?y=2",
                                                .team = 7,
                                                .body = "text"},
                                               {}};
    std::set<std::uint64_t> digests{digest_of(request)};
    for (const auto& each : others) {
        BOOST_TEST(digests.insert(digest_of(each)).second);
    }
    BOOST_TEST(digest_of(request) == digest_of(request));
}

BOOST_AUTO_TEST_SUITE_END()
