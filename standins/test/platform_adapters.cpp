// Guards the mapping of platform faults to errors across HTTP: a refused write is surely without effect, a lost
// response is reported as unknown although the write took effect, and the instance list lags.
#include "ports/http_instance_list.h"
#include "ports/http_object_store.h"
#include "ports/http_table_service.h"
#include "standins/platform_emulator.h"

#include <gtest/gtest.h>
#include <httplib.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class platform_adapters : public ::testing::Test {
protected:
    platform_adapters()
        : m_emulator(options())
    {
        EXPECT_TRUE(m_emulator.start());
    }

    static platform_emulator_options options()
    {
        platform_emulator_options options;
        options.instanceLag = 0ms;
        options.threads = 8;
        options.weightsPerSecond = 0.001;
        options.weightBurst = 1;
        return options;
    }

    int post(const char* path, const std::string& body)
    {
        httplib::Client client(m_emulator.address());
        const auto response = client.Post(path, body, "application/json");
        return response ? response->status : 0;
    }

    static table_transaction insert(const std::string& key)
    {
        return { { { key, std::nullopt } }, { { key, "value" } } };
    }

    platform_emulator m_emulator;
};

} // namespace

TEST_F(platform_adapters, conditions_versions_and_scan)
{
    http_table_service table(m_emulator.address());
    EXPECT_TRUE(table.commit(insert("call/a/team x/k?&%"), 5s).value().committed);
    const auto again = table.commit(insert("call/a/team x/k?&%"), 5s);
    EXPECT_EQ(again.value().failedKeys, std::vector<std::string> { "call/a/team x/k?&%" });
    const auto row = table.read("call/a/team x/k?&%", 5s).value();
    ASSERT_TRUE(row);
    EXPECT_EQ(row->version, store_version(0, 1));
    const auto second = table.commit({ { { row->key, store_version(0, 1) } }, { { row->key, "next" } } }, 5s).value();
    EXPECT_TRUE(second.committed);
    EXPECT_EQ(second.versions, std::vector<store_version> { store_version(0, 2) });
    EXPECT_FALSE(
        table.commit({ { { row->key, store_version(0, 1) } }, { { row->key, std::nullopt } } }, 5s).value().committed);
    EXPECT_TRUE(table.commit(insert("call/b"), 5s).value().committed);
    EXPECT_EQ(table.scan("call/", "call/a/team x/k?&%", 10, 5s).value().size(), 1u);
    EXPECT_EQ(table.scan("call/", "", 1, 5s).value().front().value, "next");
    EXPECT_FALSE(table.read("absent", 5s).value());
    EXPECT_EQ(table.commit(insert("bad\xff"), 5s).error().kind, error_kind::BadRequest);
}

TEST_F(platform_adapters, lost_response_is_unknown_and_took_effect)
{
    http_table_service table(m_emulator.address());
    ASSERT_EQ(post("/faults", R"({"service":"table","lose_responses":1})"), 200);
    EXPECT_EQ(table.commit(insert("a"), 5s).error().kind, error_kind::PlatformUnknown);
    EXPECT_TRUE(table.read("a", 5s).value());
    EXPECT_TRUE(table.commit(insert("b"), 5s).value().committed);
}

TEST_F(platform_adapters, response_after_the_timeout_is_unknown)
{
    http_table_service table(m_emulator.address());
    ASSERT_EQ(post("/faults", R"({"service":"table","delay_before_ms":400})"), 200);
    EXPECT_EQ(table.commit(insert("a"), 50ms).error().kind, error_kind::PlatformUnknown);
}

TEST_F(platform_adapters, down_and_unreachable_have_no_effect)
{
    ASSERT_EQ(post("/faults", R"({"service":"table","down_requests":2})"), 200);
    {
        http_table_service table(m_emulator.address());
        EXPECT_EQ(table.commit(insert("a"), 5s).error().kind, error_kind::PlatformUnavailable);
        EXPECT_EQ(table.read("a", 5s).error().kind, error_kind::PlatformUnavailable);
        EXPECT_FALSE(table.read("a", 5s).value());
    }
    m_emulator.stop();
    http_table_service unreachable(m_emulator.address());
    EXPECT_EQ(unreachable.commit(insert("a"), 1s).error().kind, error_kind::PlatformUnavailable);
    EXPECT_EQ(unreachable.scan("", "", 1, 1s).error().kind, error_kind::PlatformUnavailable);
}

TEST_F(platform_adapters, objects)
{
    http_object_store store(m_emulator.address());
    const std::string bytes("\x00\xff binary", 9);
    EXPECT_TRUE(store.put("snapshot/1 %", bytes, 5s));
    EXPECT_EQ(store.get("snapshot/1 %", 5s).value(), bytes);
    EXPECT_TRUE(store.remove("snapshot/1 %", 5s));
    EXPECT_TRUE(store.remove("snapshot/1 %", 5s));
    EXPECT_FALSE(store.get("snapshot/1 %", 5s).value());
    ASSERT_EQ(post("/faults", R"({"service":"objects","lose_responses":1})"), 200);
    EXPECT_EQ(store.put("o", "x", 5s).error().kind, error_kind::PlatformUnknown);
    EXPECT_EQ(store.get("o", 5s).value(), "x");
}

TEST_F(platform_adapters, instances_and_weights)
{
    http_instance_list list(m_emulator.address());
    EXPECT_TRUE(list.instances(5s).value().empty());
    ASSERT_EQ(post("/instances",
                  R"({"instances":[{"address":"127.0.0.1:1","zone":"z1","kind":"engine","state":"leaving"}]})"),
        200);
    const instance_record expected { "127.0.0.1:1", availability_zone("z1"), "engine", instance_state::Leaving };
    EXPECT_EQ(list.instances(5s).value(), std::vector<instance_record> { expected });
    EXPECT_EQ(post("/instances", R"({"instances":[{"address":"a"}]})"), 400);
    EXPECT_EQ(post("/faults", R"({"service":"tabel"})"), 400);
    EXPECT_EQ(post("/faults", R"({"service":"table","slow":1})"), 400);
    httplib::Client client(m_emulator.address());
    EXPECT_EQ(client.Get("/weights/atelier/manuals/3")->status, 200);
    EXPECT_EQ(client.Get("/weights/atelier/manuals/3")->status, 429);
}

TEST(platform_adapters_lag, a_change_is_visible_only_after_the_lag)
{
    platform_emulator_options options;
    options.instanceLag = std::chrono::hours(1);
    options.threads = 4;
    platform_emulator emulator(options);
    ASSERT_TRUE(emulator.start());
    httplib::Client client(emulator.address());
    const auto* body = R"({"instances":[{"address":"a:1","zone":"z","kind":"node","state":"live"}]})";
    ASSERT_EQ(client.Post("/instances", body, "application/json")->status, 200);
    EXPECT_TRUE(http_instance_list(emulator.address()).instances(5s).value().empty());
}
