/// \file
/// A whole node in this process with emulators of platform, engine and service, for tests of its edges.
#pragma once

#include "config/settings.h"
#include "core/test/ample_memory.h"
#include "core/test/loopback_ports.h"
#include "node/authenticator.h"
#include "node/daemon.h"
#include "node/node_log.h"
#include "ports/http_table_service.h"
#include "standins/engine_emulator.h"
#include "standins/engine_settings.h"
#include "standins/platform_emulator.h"
#include "standins/service_emulator.h"
#include "targets/call_abort.h"
#include "targets/http_exchange.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace oriolepick {

/// Starts everything and files ticket 1: fleet "one" with teams "bench" (token "bench") and "desk" (token "desk"),
/// deployment "manuals" on one engine, service "booking" with GET repeatable and POST not.
class node_fixture : public testing::Test {
protected:
    void SetUp() override
    {
        static const bool configured = [] {
            configureLog("text", "error");
            return true;
        }();
        ASSERT_TRUE(configured);
        ASSERT_TRUE(m_platform.start());
        ASSERT_TRUE(m_engine.start("127.0.0.1:0"));
        ASSERT_TRUE(m_service.start("127.0.0.1:0"));
        makeStreamConstants();
        m_settings.nodeName = "node";
        m_settings.zone = availability_zone("z1");
        m_settings.region = region_name("r1");
        m_settings.callersListen = freeLoopbackAddress();
        m_settings.peersListen = freeLoopbackAddress();
        m_settings.platformAddress = "127.0.0.1:" + std::to_string(m_platform.port());
        m_settings.operatorTokenSha256 = sha256Hex("operator");
        m_settings.cursorKeys = { { 1, std::string(64, 'a') } };
        m_settings.ticketPollInterval = std::chrono::milliseconds(50);
        m_settings.maximumBodyBytes = 4096;
        m_settings.callersThreads = 64;
        configure(m_settings);
        fileTicket();
        auto created = daemon::create(m_settings);
        ASSERT_TRUE(created) << created.error().message;
        m_node = std::move(created.value());
        ASSERT_TRUE(m_node->start());
        waitUntil("/v1/admin/status", "\"engines_reporting\":1");
    }

    /// Runs one stream of the engine before the node has threads. The HTTP library is built without ThreadSanitizer,
    /// which cannot see that the library's constant for the end of a stream is made once, and reported a race.
    void makeStreamConstants() const
    {
        call_abort abort;
        const auto response = exchangeBuffered(m_engine.address(),
            { "POST", "/v1/attempts", { { "Content-Type", "application/json" } },
                R"({"attempt_id":"first.1","model":"one/manuals","version":"3","adapter":"","prompt":"p [length=2]",)"
                R"("prefix_token_ids":[],"seed":1,"max_tokens":2,"priority":5})" },
            {}, 1 << 16, ampleMemory(), abort);
        ASSERT_EQ(response.status, 200) << response.body;
    }

    void TearDown() override
    {
        if (m_node) {
            EXPECT_TRUE(m_node->drainAndStop());
        }
        // Closes the connections that the emulators would wait for.
        m_node.reset();
        m_engine.stop();
        m_service.stop();
        m_platform.stop();
    }

    buffered_response send(const std::string& method, const std::string& path, const header_list& headers,
        const std::string& body = {}) const
    {
        call_abort abort;
        return exchangeBuffered(
            m_settings.callersListen, { method, path, headers, body }, {}, 1 << 22, ampleMemory(), abort);
    }

    buffered_response complete(
        const std::string& body, header_list headers = {}, const std::string& token = "bench") const
    {
        headers.emplace_back("Authorization", "Bearer " + token);
        headers.emplace_back("Content-Type", "application/json");
        return send("POST", "/v1/completions", headers, body);
    }

    buffered_response call(const std::string& method, const std::string& key, const std::string& body,
        const std::string& token = "bench") const
    {
        return send(method, "/v1/services/booking/orders",
            { { "Authorization", "Bearer " + token }, { "Idempotency-Key", key },
                { "Content-Type", "application/json" } },
            body);
    }

    std::string metrics() const { return send("GET", "/metrics", {}).body; }

    /// Waits until an operators' page contains a text; fails the test after 30 s.
    void waitUntil(const std::string& path, const std::string& text) const
    {
        for (int tries = 0; tries < 3000; ++tries) {
            if (send("GET", path, { { "Authorization", "Bearer operator" } }).body.find(text) != std::string::npos)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        FAIL() << path << " never showed " << text;
    }

    static engine_settings engineSettings()
    {
        engine_settings settings;
        settings.models = { { model_id(fleet_name("one"), "manuals"), model_version("3"), adapter_name() } };
        settings.role = "mixed";
        settings.stepBase = std::chrono::microseconds(500);
        return settings;
    }

    void fileTicket()
    {
        const auto team = [](const std::string& name) {
            return R"({"kind":"team","fleet":"one","name":")" + name + R"(","state":{"token_sha256":[")"
                + sha256Hex(name) + R"("],"requests_per_second":1000}})";
        };
        const auto target = [](const std::string& name, const std::string& address, const std::string& kind) {
            return R"({"kind":"target","fleet":"one","name":")" + name + R"(","state":{"address":")" + address
                + R"(","zone":"z1","kind":")" + kind + R"("}})";
        };
        std::string services;
        std::string serviceNames;
        for (const auto& address : serviceAddresses()) {
            const auto name = "s" + std::to_string(services.empty() ? 1 : 2);
            services += (services.empty() ? "" : ",") + target(name, address, "service");
            serviceNames += (serviceNames.empty() ? "\"one/" : ",\"one/") + name + "\"";
        }
        const auto text = R"({"ticket":1,"operator":"test","note":"test","objects":[
            {"kind":"fleet","fleet":"one","name":"one","state":{"title":"One","zones":["z1"]}},)"
            + team("bench") + "," + team("desk") + "," + target("e1", engineAddress(), "engine") + "," + services + R"(,
            {"kind":"model","fleet":"one","name":"manuals","state":{"versions":["3"]}},
            {"kind":"policy","fleet":"one","name":"fast","state":{"strategy":"latency_first"}},
            {"kind":"deployment","fleet":"one","name":"manuals","state":{"model":"one/manuals","version":"3","targets":["one/e1"],"resume_policy":"fast"}},
            {"kind":"service","fleet":"one","name":"booking","state":{"targets":[)"
            + serviceNames + R"(],"methods":[
                {"method":"GET","repeatable":true,"time_limit_ms":5000},{"method":"POST","repeatable":false,"time_limit_ms":5000}]}}]})";
        http_table_service table(m_platform.address());
        const auto outcome = table.commit(
            { { { "ticket/000000000001", {} } }, { { "ticket/000000000001", text }, { "ticket-head", "1" } } },
            std::chrono::seconds(5));
        ASSERT_TRUE(outcome && outcome.value().committed);
    }

    /// \return the addresses of targets "s1" and, if there is a second, "s2"
    virtual std::vector<std::string> serviceAddresses() { return { m_service.address() }; }

    /// \return the address of target "e1"
    virtual std::string engineAddress() { return m_engine.address(); }

    /// Changes the settings of the node before it starts.
    virtual void configure(settings&) { }

    platform_emulator m_platform { platform_emulator_options {} };
    engine_emulator m_engine { engineSettings() };
    /// The service got a request while its fault "exit_on_accept" is on.
    virtual void onServiceExit() { }

    service_emulator m_service { 64, [this] { onServiceExit(); } };
    settings m_settings;
    std::unique_ptr<daemon> m_node;
};

} // namespace oriolepick
