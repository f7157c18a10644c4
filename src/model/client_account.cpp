#include "model/client_account.hpp"

#include <array>

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace cyclamen::model {

std::string hash_key(const std::string& key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return absl::BytesToHexString({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

} // namespace cyclamen::model
