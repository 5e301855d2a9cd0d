#include "fescue/config/accountkeys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <span>
#include <stdexcept>
#include <utility>

namespace fescue {

namespace {

constexpr std::size_t digestBytes = 32;
constexpr std::size_t streamMacDigits = 16;
using Digest = std::array<unsigned char, digestBytes>;

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

Digest hmac(std::string_view secret, std::string_view text)
{
    Digest digest = {};
    unsigned int size = digestBytes;
    const unsigned char *data = reinterpret_cast<const unsigned char *>(text.data());
    const unsigned char *made = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
                                     data, text.size(), digest.data(), &size);
    if (made == nullptr)
        throw std::runtime_error("HMAC-SHA256 is not available in libcrypto");
    return digest;
}

} // namespace

std::string hashKey(std::string_view key)
{
    Digest digest = {};
    unsigned int size = digestBytes;
    if (EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available in libcrypto");
    return toHex(digest);
}

bool equalInConstantTime(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string streamMac(std::string_view secret, std::string_view text)
{
    const Digest digest = hmac(secret, text);
    return toHex(std::span<const unsigned char>(digest).first(streamMacDigits / 2));
}

AccountDirectory::AccountDirectory(std::shared_ptr<const Snapshot> snapshot)
    : m_snapshot(std::move(snapshot))
{
    if (RAND_bytes(m_secret.data(), static_cast<int>(m_secret.size())) != 1)
        throw std::runtime_error("libcrypto has no random bytes");
    for (const Account &account : m_snapshot->accounts)
        m_accounts.emplace(indexOf(account.keyHash), &account);
}

std::string AccountDirectory::indexOf(std::string_view keyHash) const
{
    const std::string_view secret(reinterpret_cast<const char *>(m_secret.data()), m_secret.size());
    return toHex(hmac(secret, keyHash));
}

const Account *AccountDirectory::find(std::string_view key) const
{
    const std::string hash = hashKey(key);
    const auto it = m_accounts.find(indexOf(hash));
    if (it == m_accounts.end() || !equalInConstantTime(it->second->keyHash, hash))
        return nullptr;
    return it->second;
}

} // namespace fescue
