#pragma once

#include "hibiscusfall/core/address.hpp"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::operators
{

/// @brief How a command ended, by rising gravity; the values are the exit codes.
enum class exit_status { accepted = 0, refused = 1, usage = 2, unreachable = 3 };

/// @brief Whom an operator's commands go to, and how they are answered.
struct session {
    std::vector<core::address> routers; ///< Tried in order.
    std::string token;
    std::string author;
    std::string change_id; ///< Given to the change; a new one is made when this is empty.
    bool json = false;
};

/// @brief Runs one line of the command language against a fleet.
/// @param out Receives the answer.
/// @param errors Receives why there is none.
/// @remarks A change whose outcome stays unknown is sent again under the same id, which is harmless.
exit_status run(const session& session, std::string_view line, std::ostream& out, std::ostream& errors);

} // namespace hibiscusfall::operators
