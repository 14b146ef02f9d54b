#include "ports/http_object_store.h"
#include "ports/http_table_service.h"
#include "tool/command.h"
#include "tool/http_node_reader.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int argc, char** argv)
{
    using namespace oriolepick;
    constexpr std::chrono::milliseconds NodeTimeout { 5000 };
    http_node_reader nodes(NodeTimeout);
    tool_environment environment { std::cout, std::cerr,
        [](const std::string& address) {
            const auto url = address.find("://") == std::string::npos ? "http://" + address : address;
            return platform_connection { std::make_unique<http_table_service>(url),
                std::make_unique<http_object_store>(url) };
        },
        nodes, [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); },
        [](const std::string& name) {
            const char* value = std::getenv(name.c_str());
            return value ? std::optional<std::string>(value) : std::nullopt;
        } };
    return static_cast<int>(runTool(std::vector<std::string>(argv + 1, argv + argc), environment));
}
