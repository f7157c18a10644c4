#include "relay/answered_traits.hpp"

namespace cyclamen::relay {

std::size_t answered_traits::add(const core::service_name& service, const std::string& trait)
{
    const trait_key key{service, trait};
    if (const auto known = current_.find(key); known != current_.end()) {
        return ++known->second;
    }
    std::size_t count = 1;
    if (const auto former = former_.extract(key); !former.empty()) {
        count += former.mapped();
    }
    if (current_.size() >= generation_size_) {
        former_ = std::move(current_);
        current_.clear();
    }
    current_.emplace(key, count);
    return count;
}

std::size_t answered_traits::count(const core::service_name& service,
                                   const std::string& trait) const
{
    const trait_key key{service, trait};
    if (const auto known = current_.find(key); known != current_.end()) {
        return known->second;
    }
    const auto former = former_.find(key);
    return former == former_.end() ? 0 : former->second;
}

} // namespace cyclamen::relay
