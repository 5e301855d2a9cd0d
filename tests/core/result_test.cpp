#include "fescue/core/result.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

TEST(Error, NamesPlaceMessageAndCode)
{
    const Error error {ResultCode::ConfigBadValue, "slots must be at least 1", {"a.ini", 3, 9}};
    EXPECT_EQ(error.toString(), "a.ini:3:9: slots must be at least 1 (5002 config-bad-value)");
}

} // namespace
