#pragma once

#include "standins/parts/engine.hpp"
#include "standins/parts/misbehaviour.hpp"
#include "standins/parts/run_record.hpp"

namespace hibiscusfall::standins
{

/// @brief All that the connections of an endpoint stand-in share.
struct endpoint_standin {
    int default_tokens = 16; ///< Of an answer when the request names none.
    int run_ms = 20;         ///< Time that one call of the plain service takes.
    engine model{engine_options{}};
    run_record runs{};
    misbehaviour_switch faults{};
};

} // namespace hibiscusfall::standins
