#include "fescue/serving/engineinquiry.h"

#include <algorithm>

namespace fescue::serving {

double askChance(std::size_t holders) noexcept
{
    return 1.0 / static_cast<double>(std::max<std::size_t>(holders, 1));
}

} // namespace fescue::serving
