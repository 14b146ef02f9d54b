// Guards against a version that a restored store hands out a second time: a write that was composed before the restore
// must not take effect on a row that another node has written since.
#include "ports/http_object_store.h"
#include "ports/http_table_service.h"
#include "standins/platform_emulator.h"

#include <gtest/gtest.h>
#include <httplib.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class restored_store : public ::testing::Test {
protected:
    restored_store()
        : m_emulator(options())
    {
        EXPECT_TRUE(m_emulator.start());
        m_table = std::make_unique<http_table_service>(m_emulator.address());
    }

    static platform_emulator_options options()
    {
        platform_emulator_options options;
        options.threads = 8;
        return options;
    }

    void post(const char* path)
    {
        httplib::Client client(m_emulator.address());
        const auto response = client.Post(path, "", "application/json");
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 200) << path;
    }

    table_row write(const std::string& key, const std::string& value)
    {
        const auto before = m_table->read(key, 5s).value();
        const table_transaction transaction { { { key, before ? std::optional(before->version) : std::nullopt } },
            { { key, value } } };
        EXPECT_TRUE(m_table->commit(transaction, 5s).value().committed);
        return m_table->read(key, 5s).value().value();
    }

    platform_emulator m_emulator;
    std::unique_ptr<http_table_service> m_table;
};

} // namespace

TEST_F(restored_store, a_version_handed_out_twice_does_not_satisfy_an_old_condition)
{
    write("row", "one");
    post("/copy");
    const auto lost = write("row", "lost");
    post("/restore");
    EXPECT_EQ(m_table->read("row", 5s).value()->value, "one");
    const auto again = write("row", "another");
    EXPECT_EQ(again.version.number(), lost.version.number());
    EXPECT_NE(again.version, lost.version);
    EXPECT_EQ(m_table->epoch(), 1u);
    const auto late = m_table->commit({ { { "row", lost.version } }, { { "row", "late" } } }, 5s).value();
    EXPECT_FALSE(late.committed);
    EXPECT_EQ(m_table->read("row", 5s).value()->value, "another");
}

TEST_F(restored_store, each_restore_raises_the_epoch_and_brings_the_objects_back)
{
    http_object_store objects(m_emulator.address());
    EXPECT_TRUE(objects.put("snapshot/1", "kept", 5s));
    write("row", "one");
    EXPECT_EQ(m_table->epoch(), 0u);
    post("/copy");
    for (store_epoch epoch = 1; epoch <= 2; ++epoch) {
        EXPECT_TRUE(objects.put("snapshot/2", "lost", 5s));
        post("/restore");
        EXPECT_FALSE(objects.get("snapshot/2", 5s).value());
        EXPECT_EQ(objects.get("snapshot/1", 5s).value(), "kept");
        EXPECT_EQ(m_table->read("row", 5s).value()->version, store_version(epoch, 1));
        EXPECT_EQ(m_table->scan("row", "", 1, 5s).value().front().version, store_version(epoch, 1));
    }
    const auto row = m_table->read("row", 5s).value().value();
    const auto outcome = m_table->commit({ { { "row", row.version } }, { { "row", "two" } } }, 5s).value();
    EXPECT_EQ(outcome.versions, std::vector<store_version> { store_version(2, 2) });
}
