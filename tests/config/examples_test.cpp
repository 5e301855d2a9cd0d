#include "fescue/config/accountkeys.h"
#include "fescue/tools/servicefiles.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace fescue;

Snapshot example(const std::string &name)
{
    const Checked<std::vector<ServiceFileText>> files =
        tools::readServiceFiles({FESCUE_SOURCE_DIR "/examples/" + name});
    if (!files) {
        ADD_FAILURE() << toString(files.error());
        return {};
    }
    const Checked<Declaration> declaration = collectDeclaration(*files);
    if (!declaration) {
        ADD_FAILURE() << toString(declaration.error());
        return {};
    }
    return declaration->snapshot;
}

std::size_t countEndpoints(const Snapshot &snapshot, ServiceKind kind)
{
    return static_cast<std::size_t>(std::count_if(
        snapshot.endpoints.begin(), snapshot.endpoints.end(), [&](const Endpoint &endpoint) {
            const Service *service = snapshot.findService(endpoint.service);
            return service != nullptr && service->kind == kind;
        }));
}

struct ExampleSize
{
    const char *name;
    std::size_t zones;
    std::size_t engines;
    std::size_t plainEndpoints;
    std::size_t accounts;
};

std::ostream &operator<<(std::ostream &stream, const ExampleSize &size)
{
    return stream << size.name;
}

const ExampleSize exampleSizes[] = {
    {"demo", 3, 3, 1, 2},
    {"waypoint", 3, 12, 3, 10},
    {"ferreira", 4, 12, 4, 10},
};

class Examples : public ::testing::TestWithParam<ExampleSize>
{ };

TEST_P(Examples, AreValidAndComplete)
{
    const Snapshot snapshot = example(GetParam().name);
    EXPECT_EQ(snapshot.zones.size(), GetParam().zones);
    EXPECT_EQ(countEndpoints(snapshot, ServiceKind::Model), GetParam().engines);
    EXPECT_EQ(countEndpoints(snapshot, ServiceKind::Plain), GetParam().plainEndpoints);
    EXPECT_EQ(snapshot.accounts.size(), GetParam().accounts);
}

TEST_P(Examples, DeclareCallsOfBothKinds)
{
    bool once = false;
    bool repeatable = false;
    for (const Service &service : example(GetParam().name).services) {
        for (const CallContract &call : service.calls)
            (call.repeatable ? repeatable : once) = true;
    }
    EXPECT_TRUE(once);
    EXPECT_TRUE(repeatable);
}

INSTANTIATE_TEST_SUITE_P(Each, Examples, ::testing::ValuesIn(exampleSizes),
                         [](const ::testing::TestParamInfo<ExampleSize> &info) {
                             return std::string(info.param.name);
                         });

TEST(DemoExample, KeysOpenTheirAccounts)
{
    const AccountDirectory directory(std::make_shared<const Snapshot>(example("demo")));
    ASSERT_NE(directory.find("demo-key"), nullptr);
    EXPECT_EQ(directory.find("demo-key")->name, AccountName("diner"));
    ASSERT_NE(directory.find("kiosk-key"), nullptr);
    EXPECT_EQ(directory.find("kiosk-key")->name, AccountName("kiosk"));
}

} // namespace
