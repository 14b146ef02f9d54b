/// \file
/// An emulated model engine that speaks the engine protocol over HTTP.
#pragma once

#include "core/token.h"
#include "standins/emulated_batch.h"
#include "standins/engine_faults.h"
#include "standins/engine_models.h"
#include "standins/engine_settings.h"
#include "standins/http_listener.h"

#include <functional>
#include <memory>
#include <string>

namespace httplib {
struct Request;
struct Response;
}

namespace oriolepick {

/// One emulated engine on one address.
class engine_emulator {
public:
    /// \param crash called when a prompt contains the crash text; a program exits in it
    explicit engine_emulator(
        engine_settings settings, std::function<void()> crash = [] {});
    ~engine_emulator();

    /// \param address "ip:port", port 0 for any free one
    /// \return whether the address could be bound
    bool start(const std::string& address);
    void stop();

    const std::string& address() const { return m_listener.address(); }
    engine_faults& faults() { return m_faults; }
    const emulated_batch& batch() const { return m_batch; }

private:
    using handler = void (engine_emulator::*)(const httplib::Request&, httplib::Response&);
    struct open_stream;

    void addRoutes();
    void startAttempt(const httplib::Request& request, httplib::Response& response);
    void attachAttempt(const httplib::Request& request, httplib::Response& response);
    void cancelAttempt(const httplib::Request& request, httplib::Response& response);
    void answerState(const httplib::Request& request, httplib::Response& response);
    void answerLoad(const httplib::Request& request, httplib::Response& response);
    void answerCacheEvents(const httplib::Request& request, httplib::Response& response);
    void answerHealth(const httplib::Request& request, httplib::Response& response);
    void takeOrder(const httplib::Request& request, httplib::Response& response);
    bool rejectByFault(httplib::Response& response) const;
    void openStream(const std::shared_ptr<emulated_attempt>& attempt, std::uint64_t epoch, std::uint32_t from,
        httplib::Response& response);
    bool writeStream(
        open_stream& stream, const std::function<bool(const std::string&)>& write, const std::function<void()>& done);
    bool writeTokens(open_stream& stream, const token_list& tokens,
        const std::function<bool(const std::string&)>& write, const std::function<void()>& done);

    const engine_settings m_settings;
    engine_faults m_faults;
    engine_models m_models;
    emulated_batch m_batch;
    http_listener m_listener;
};

} // namespace oriolepick
