#pragma once

#include <map>
#include <optional>
#include <string>

namespace cyclamen::standin {

/// In-memory object store of the stand-in platform. Opens no socket.
class object_store {
  public:
    void put(const std::string& name, std::string bytes) { objects_[name] = std::move(bytes); }

    /// @return the bytes of an object, empty if it does not exist
    [[nodiscard]] std::optional<std::string> get(const std::string& name) const
    {
        const auto found = objects_.find(name);
        return found == objects_.end() ? std::nullopt : std::optional{found->second};
    }

  private:
    std::map<std::string, std::string> objects_;
};

} // namespace cyclamen::standin
