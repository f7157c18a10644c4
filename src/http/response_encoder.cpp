#include "http/response_encoder.hpp"

#include "core/text.hpp"
#include "http/message_reader.hpp"

namespace cyclamen::http {

namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int first_final_status = 200;

} // namespace

bool has_no_body(int status)
{
    return status < first_final_status || status == status_no_content ||
           status == status_not_modified;
}

std::string encode_head(const response_head& head, const response_framing& framing)
{
    std::string text =
        core::concat("HTTP/1.1 ", head.status, " ", reason_phrase(head.status), "\r\n");
    for (const header& field : head.headers) {
        core::append(text, field.name, ": ", field.value, "\r\n");
    }
    if (framing.length.has_value() && !has_no_body(head.status)) {
        core::append(text, "content-length: ", *framing.length, "\r\n");
    }
    else if (framing.chunked && !framing.omits_body) {
        text += "transfer-encoding: chunked\r\n";
    }
    if (!framing.keep_alive) {
        text += "connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

std::string encode_chunk(std::string_view bytes, bool last)
{
    std::string text;
    if (!bytes.empty()) {
        text = fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
    }
    return last ? text + "0\r\n\r\n" : text;
}

} // namespace cyclamen::http
