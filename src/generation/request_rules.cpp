#include "generation/request_rules.hpp"

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/text.hpp"

namespace cyclamen::generation::detail {

std::string route_of(const api::generation_request& request)
{
    return core::concat(request.service.str(), request.streaming ? "/stream" : "/whole");
}

std::uint64_t hash_of(const api::generation_request& request)
{
    return core::hash_of(request.prompt, core::hash_of(request.service.str(), request.max_tokens));
}

absl::Status key_reused()
{
    return core::make_error(core::error_kind::unprocessable,
                            "the request key was already used for a different request",
                            "use a separate key for each request");
}

absl::Status position_unknown(std::uint64_t held)
{
    return core::make_error(
        core::error_kind::not_found,
        core::concat("no answer is known that starts with the ", held, " tokens the caller has"),
        "send the request again without Last-Event-ID");
}

absl::Status quarantined()
{
    return core::make_error(core::error_kind::quarantined,
                            "the request is quarantined: the targets that ran it were lost",
                            "change the request, or ask the operator to investigate");
}

absl::Status deadline_missed()
{
    return core::make_error(core::error_kind::deadline_exceeded,
                            "the answer was not complete by its deadline",
                            "allow more time or ask for fewer tokens");
}

} // namespace cyclamen::generation::detail
