/// \file
/// Reads accepted tickets from the platform's table in the background and publishes the state that they fold to.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace oriolepick {

class node_metrics;
class state_keeper;
class table_service;
struct node_status;

class ticket_poller {
public:
    ticket_poller(const table_service& table, state_keeper& states, node_status& status, node_metrics& metrics,
        std::chrono::milliseconds period, std::chrono::milliseconds timeout);
    ~ticket_poller();
    ticket_poller(const ticket_poller&) = delete;
    ticket_poller& operator=(const ticket_poller&) = delete;

private:
    void run();
    void poll();

    const table_service& m_table;
    state_keeper& m_states;
    node_status& m_status;
    node_metrics& m_metrics;
    std::chrono::milliseconds m_period;
    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_stop;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace oriolepick
