#include "fescue/tools/publication.h"

#include <random>

namespace fescue::tools {

std::string makeNonce()
{
    constexpr std::size_t nonceDigits = 32;
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device device;
    std::uniform_int_distribution<std::size_t> digit(0, digits.size() - 1);
    std::string nonce;
    for (std::size_t n = 0; n < nonceDigits; ++n)
        nonce += digits[digit(device)];
    return nonce;
}

} // namespace fescue::tools
