/// \file
/// The HTTP edge of the node: routes of callers and operators, limits of the transport, and the form of all answers.
#pragma once

#include "core/error.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace oriolepick {

class authenticator;
class completion_stream;
class completions_endpoint;
class node_metrics;
class open_request;
class operator_endpoint;
class service_endpoint;
struct node_status;
struct settings;

/// What the edge serves; all of it outlives the edge.
struct edge_services {
    completions_endpoint& completions;
    service_endpoint& services;
    operator_endpoint& operators;
    const authenticator& callers;
    node_metrics& metrics;
    node_status& status;
};

class http_edge {
public:
    http_edge(const settings& configuration, const edge_services& services);
    ~http_edge();

    /// Binds the configured address.
    /// \return Internal when the address cannot be bound
    result<void> bind();

    /// Serves until stop(); blocks.
    void serve();

    /// Ends serve(); requests that are being served get their answers, but nothing waits any longer for callers that do
    /// not read them.
    void stop();

private:
    void addRoutes();
    void addOperatorRoutes();
    void handleCompletion(const httplib::Request& request, httplib::Response& response);
    void handleService(const httplib::Request& request, httplib::Response& response);
    void handleLookUp(const httplib::Request& request, httplib::Response& response);
    void sendEvents(const std::shared_ptr<completion_stream>& stream, std::shared_ptr<open_request> open,
        httplib::Response& response);
    bool refusesConnection(const httplib::Request& request, httplib::Response& response);
    bool refusesFraming(const httplib::Request& request, httplib::Response& response);
    bool isTooLarge(const httplib::Request& request) const;
    bool refusesWork(const httplib::Request& request, httplib::Response& response);
    void refuse(const error& reason, const httplib::Request& request, httplib::Response& response);
    void answerError(const error& problem, httplib::Response& response, const std::string& fleet,
        std::optional<run_state> run = std::nullopt);
    void recordEnd(const completion_stream& stream);

    const settings& m_settings;
    edge_services m_services;
    std::atomic<bool> m_cut { false }; ///< callers that do not read are no longer waited for
    std::unique_ptr<httplib::Server> m_server;
    int m_socket = -1; ///< the listening socket, owned by the server
};

} // namespace oriolepick
