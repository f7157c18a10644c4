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
    return core::make_error(core::error_kind::unprocessable, "the key was used for another request",
                            "give each request a key of its own");
}

absl::Status position_unknown(std::uint64_t held)
{
    return core::make_error(
        core::error_kind::not_found,
        core::concat("the answer whose first ", held, " tokens the caller has is not known here"),
        "send the request again without Last-Event-ID");
}

absl::Status quarantined()
{
    return core::make_error(core::error_kind::quarantined,
                            "targets were lost each time they ran this request",
                            "change the request, or ask the operator to look into it");
}

absl::Status deadline_missed()
{
    return core::make_error(core::error_kind::deadline_exceeded, "the answer was not whole in time",
                            "allow more time or ask for fewer tokens");
}

} // namespace cyclamen::generation::detail
