#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::soak {

/// What kind of request a caller has sent.
enum class call_kind { stream, unsafe, safe, probe };

/// What became of one attempt of a caller.
struct call_record {
    const std::string id;
    const call_kind kind;
    /// What decides the content of its answer.
    const std::string seed;
    /// Which instance it was sent to, and which of its processes.
    const std::size_t instance;
    const std::uint64_t process;
    /// For a probe: the revision whose route was asked for.
    const std::uint64_t revision;
    /// Last event that the caller had before.
    const std::uint64_t last_event;
    const core::instant sent_at;
    const core::instant ended_at;
    /// 0 where no answer came.
    const int status;
    const std::string answer_id;
    const std::string seal;
    const std::string body;
    /// True where the answer ended as a whole answer does.
    const bool complete;
    /// True where the caller closed its connection before the answer.
    const bool abandoned;

    auto operator<=>(const call_record&) const = default;
};

} // namespace cyclamen::soak
