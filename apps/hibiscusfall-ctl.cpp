// The operators' command line: sends commands to a router and prints the answers.
#include "hibiscusfall/configuration/document.hpp"
#include "hibiscusfall/operators/command.hpp"
#include "hibiscusfall/operators/command_shape.hpp"
#include "hibiscusfall/operators/session.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace hibiscusfall;
using operators::exit_status;

struct arguments {
    std::vector<std::string> routers;
    std::string token;
    std::string author;
    std::string change_id;
    std::string token_to_hash;
    bool json = false;
    std::vector<std::string> words;
};

void declare(CLI::App& app, arguments& given)
{
    app.add_option(
           "--router", given.routers, "operator address of a router, ip:port; several are tried in order")
        ->envname("HIBISCUSFALL_ROUTERS")
        ->delimiter(',')
        ->allow_extra_args(false);
    app.add_option("--token", given.token, "operator token")->envname("HIBISCUSFALL_OPERATOR_TOKEN");
    app.add_option("--author", given.author, "name for the history")->envname("USER");
    app.add_option("--change-id", given.change_id, "repeats the change with this id; only for one command");
    app.add_option(
        "--hash-token", given.token_to_hash, "print the digest of a token for a settings file, and exit");
    app.add_flag("--json", given.json, "print answers as JSON");
    app.add_option("command", given.words, "the command; without one, a command a line from standard input");
    app.set_version_flag("--version", HIBISCUSFALL_VERSION);
    app.footer("Commands:\n" + operators::help_text("") +
               "\nExit status: 0 accepted or answered, 1 refused, 2 usage, 3 no router reached.");
}

/// Joins words again, quoting those that need it.
std::string join(const std::vector<std::string>& words)
{
    std::string line;
    for (const auto& word : words) {
        line += line.empty() ? "" : " ";
        if (words.size() > 1 && (word.empty() || word.find_first_of(" \t\"#\\") != std::string::npos)) {
            line += '"';
            for (const char letter : word) {
                line += letter == '"' || letter == '\\' ? std::string{'\\', letter} : std::string{letter};
            }
            line += '"';
        } else {
            line += word;
        }
    }
    return line;
}

/// Runs the commands of standard input; the result is the gravest of theirs.
exit_status run_lines(const operators::session& session)
{
    auto worst = exit_status::accepted;
    for (std::string line; std::getline(std::cin, line);) {
        const auto blank = line.find_first_not_of(" \t");
        if (blank != std::string::npos && line[blank] != '#') {
            worst = std::max(worst, operators::run(session, line, std::cout, std::cerr));
        }
    }
    return worst;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Asks a fleet what its teams receive and changes its configuration"};
    arguments given;
    declare(app, given);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? EXIT_SUCCESS : static_cast<int>(exit_status::usage);
    }
    if (!given.token_to_hash.empty()) {
        std::cout << configuration::hash_token(given.token_to_hash) << '\n';
        return EXIT_SUCCESS;
    }
    operators::session session{.routers = {},
                               .token = given.token,
                               .author = given.author,
                               .change_id = given.change_id,
                               .json = given.json};
    for (const auto& router : given.routers) {
        const auto address = core::parse_address(router);
        if (!address) {
            std::cerr << "--router: \"" << router << "\" is not an address such as 127.0.0.1:8090\n";
            return static_cast<int>(exit_status::usage);
        }
        session.routers.push_back(*address);
    }
    const auto status = given.words.empty()
                            ? run_lines(session)
                            : operators::run(session, join(given.words), std::cout, std::cerr);
    return static_cast<int>(status);
}
