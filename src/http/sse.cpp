#include "http/sse.hpp"

#include "core/text.hpp"

namespace cyclamen::http {

std::string encode_sse(const sse_event& event)
{
    if (event.id.empty()) {
        return core::concat("data: ", event.data, "\n\n");
    }
    return core::concat("id: ", event.id, "\ndata: ", event.data, "\n\n");
}

void sse_reader::feed(std::string_view bytes, const std::function<void(const sse_event&)>& sink)
{
    pending_.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = pending_.find('\n'); end != std::string::npos;
         end = pending_.find('\n', begin)) {
        std::string_view line{pending_.data() + begin, end - begin};
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        read_line(line, sink);
        begin = end + 1;
    }
    pending_.erase(0, begin);
}

void sse_reader::read_line(std::string_view line, const std::function<void(const sse_event&)>& sink)
{
    if (line.empty()) {
        if (!data_.empty()) {
            sink(sse_event{id_, data_});
        }
        id_.clear();
        data_.clear();
        return;
    }
    if (core::consume_prefix(line, "data:")) {
        core::consume_prefix(line, " ");
        data_.append(line);
    }
    else if (core::consume_prefix(line, "id:")) {
        core::consume_prefix(line, " ");
        id_ = std::string{line};
    }
}

} // namespace cyclamen::http
