/// \file
/// What the command groups of `oriolepick` share: exit codes and the environment that they run in.
#pragma once

#include "core/error.h"
#include "core/instant.h"
#include "ports/object_store.h"
#include "ports/table_service.h"

#include <chrono>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace docopt {
struct value;
}

namespace oriolepick {

/// Exit code of the command.
enum class exit_code { Success = 0, Failure = 1, Usage = 2 };

/// Open connections to one platform.
struct platform_connection {
    std::unique_ptr<table_service> table;
    std::unique_ptr<object_store> objects;
};

/// Reads back from nodes.
class node_reader {
public:
    virtual ~node_reader() = default;

    /// Reads one page of the operators.
    /// \param address "ip:port"
    /// \param page "in-force" for the complete state, "status" for the number in force without the objects,
    ///     "trace/<key>" for one request, or a path from "/" on such as "/metrics"
    /// \param token the operators' bearer token; empty for none
    /// \return the body
    virtual result<std::string> read(const std::string& address, const std::string& page, const std::string& token) = 0;
};

/// Everything outside of the process that a command uses.
struct tool_environment {
    std::ostream& out;
    std::ostream& err;
    std::function<platform_connection(const std::string& address)> connect;
    node_reader& nodes;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::function<std::optional<std::string>(const std::string& name)> variable; ///< environment variables
    std::function<wall_time()> now = [] { return std::chrono::system_clock::now(); };
    std::function<bool()> interrupted = [] { return false; }; ///< whether a repeated display must end
};

using parsed_arguments = std::map<std::string, docopt::value>;

/// Parses arguments by a docopt usage text. Prints help, the version or a usage error itself.
/// \return the arguments, or the exit code to end with
std::optional<parsed_arguments> parseArguments(
    const char* usage, const std::vector<std::string>& arguments, tool_environment& environment, exit_code& code);

/// \return the text of option \p name, or of the environment variable, or nothing
std::optional<std::string> optionOr(const parsed_arguments& arguments, const std::string& name, const char* variable,
    const tool_environment& environment);

/// Reads a file of at most \p mostBytes.
result<std::string> readFile(const std::string& path, std::size_t mostBytes);

/// Reads the operators' token from the file of option --token-file or ORIOLEPICK_TOKEN_FILE; empty when neither is set.
result<std::string> readToken(const parsed_arguments& arguments, const tool_environment& environment);

/// Connects to the platform of option --platform or ORIOLEPICK_PLATFORM.
result<platform_connection> connectPlatform(const parsed_arguments& arguments, const tool_environment& environment);

/// Prints "error: code: message", or with \p json the same as an object on the output.
exit_code reportFailure(const error& failure, bool json, tool_environment& environment);

/// Runs `oriolepick` with the arguments after the program's name.
exit_code runTool(const std::vector<std::string>& arguments, tool_environment& environment);

} // namespace oriolepick
