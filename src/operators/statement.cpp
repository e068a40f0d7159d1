#include "hibiscusfall/operators/statement.hpp"

#include <boost/spirit/home/x3.hpp>

namespace hibiscusfall::operators
{

namespace
{

namespace x3 = boost::spirit::x3;
// Takes every byte, so that names in UTF-8 pass through unchanged.
namespace bytes = boost::spirit::x3::iso8859_1;

const auto escaped = '\\' >> bytes::char_("\"\\");
const auto quoted_word = x3::rule<struct quoted_tag, std::string>{
    "quoted word"} = '"' >> *(escaped | (bytes::char_ - bytes::char_("\"\\"))) >> '"';
const auto bare_word = x3::rule<struct bare_tag, std::string>{"word"} = +(bytes::graph - bytes::char_("\"#"));
const auto word = x3::rule<struct word_tag, std::string>{"word"} = quoted_word | bare_word;
const auto blanks = x3::omit[+bytes::blank];
const auto comment = x3::omit['#' >> *bytes::char_];
const auto line_grammar = x3::omit[*bytes::blank] >> -(word % blanks) >> x3::omit[*bytes::blank] >> -comment;

} // namespace

std::variant<statement, syntax_error> parse_statement(std::string_view line)
{
    statement result;
    auto at = line.begin();
    const bool matched = x3::parse(at, line.end(), line_grammar, result.words);
    if (matched && at == line.end()) {
        return result;
    }
    const auto column = static_cast<std::size_t>(at - line.begin()) + 1;
    const bool in_quote = at != line.end() && *at == '"';
    return syntax_error{.column = column,
                        .message = in_quote ? "a quoted word is not closed, or a quote stands inside a word"
                                            : "a character cannot stand in a word"};
}

} // namespace hibiscusfall::operators
