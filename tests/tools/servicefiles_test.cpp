#include "fescue/tools/servicefiles.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::tools;
namespace fs = std::filesystem;

class ServiceFiles : public ::testing::Test
{
protected:
    void SetUp() override
    {
        const ::testing::TestInfo *info = ::testing::UnitTest::GetInstance()->current_test_info();
        m_root = fs::path(::testing::TempDir())
            / ("fescue-" + std::to_string(::testing::UnitTest::GetInstance()->random_seed())
               + info->name());
        fs::remove_all(m_root);
        fs::create_directories(m_root / "draft");
    }
    void TearDown() override { fs::remove_all(m_root); }

    std::string write(const std::string &name)
    {
        const fs::path path = m_root / name;
        std::ofstream(path) << name;
        return path.string();
    }

    fs::path m_root;
};

TEST_F(ServiceFiles, SearchesDirectories)
{
    write("zones.fescue.ini");
    write("draft/draft.fescue.ini");
    write("draft/other.ini");
    const Checked<std::vector<ServiceFileText>> files = readServiceFiles({m_root.string()});
    ASSERT_TRUE(files) << toString(files.error());
    ASSERT_EQ(files->size(), 2U);
    EXPECT_EQ((*files)[0].text, "draft/draft.fescue.ini");
    EXPECT_EQ((*files)[1].text, "zones.fescue.ini");
}

TEST_F(ServiceFiles, ReadsAFileOnce)
{
    const std::string path = write("a.fescue.ini");
    const Checked<std::vector<ServiceFileText>> files =
        readServiceFiles({path, m_root.string(), path});
    ASSERT_TRUE(files) << toString(files.error());
    EXPECT_EQ(files->size(), 1U);
}

TEST_F(ServiceFiles, ReportsEveryPathThatYieldsNothing)
{
    const std::string missing = (m_root / "missing.ini").string();
    const Checked<std::vector<ServiceFileText>> files =
        readServiceFiles({(m_root / "draft").string(), missing});
    ASSERT_FALSE(files);
    ASSERT_EQ(files.error().size(), 2U);
    EXPECT_EQ(files.error()[0].code, ResultCode::ConfigMissing);
    EXPECT_EQ(files.error()[1].code, ResultCode::FileUnreadable);
    EXPECT_EQ(files.error()[1].position.file, missing);
}

} // namespace
