#include "tool/trace_command.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace oriolepick {

namespace {

    constexpr std::size_t MaxKeyBytes = 300; ///< as the nodes accept
    constexpr std::size_t MaxPageBytes = 1U << 20U;

    constexpr const char* Usage = R"(Prints what nodes remember of one request, merged by time.

Usage:
  oriolepick trace --node=ADDRESS... [--token-file=PATH] [--json] <key>
  oriolepick trace (-h | --help)
  oriolepick trace --version

<key> is fleet/team/key, with the request key of the header Idempotency-Key or Oriolepick-Request-Key.

Options:
  --node=ADDRESS     Ask this node (ip:port).
  --token-file=PATH  File with the operators' token; default: the variable ORIOLEPICK_TOKEN_FILE.
  --json             One JSON object.

Exit codes: 0 some node knows the request, 1 none does, 2 usage error.
)";

    struct trace_line {
        double seconds = 0;
        std::string time;
        std::string node;
        std::string text;
    };

    /// \return the key for a path of a URL; separators stay
    std::string percentEncoded(const std::string& key)
    {
        std::string encoded;
        for (const char symbol : key) {
            const auto byte = static_cast<unsigned char>(symbol);
            if (absl::ascii_isalnum(byte) || symbol == '-' || symbol == '.' || symbol == '_' || symbol == '~'
                || symbol == '/')
                encoded.push_back(symbol);
            else
                encoded += absl::StrFormat("%%%02X", byte);
        }
        return encoded;
    }

    result<std::vector<trace_line>> parsePage(const std::string& address, const std::string& page)
    {
        const error malformed { error_kind::TargetFailed, "node " + address + " answered no trace" };
        if (page.size() > MaxPageBytes)
            return malformed;
        const auto body = nlohmann::json::parse(page, nullptr, false);
        if (!body.is_object() || !body.contains("lines") || !body["lines"].is_array() || !body.contains("node")
            || !body["node"].is_string())
            return malformed;
        std::vector<trace_line> lines;
        for (const auto& entry : body["lines"]) {
            if (!entry.is_string())
                return malformed;
            const auto text = entry.get<std::string>();
            const auto blank = text.find(' ');
            trace_line line { 0, text.substr(0, blank), body["node"].get<std::string>(), "" };
            if (blank == std::string::npos || !absl::SimpleAtod(line.time, &line.seconds))
                return malformed;
            line.text = text.substr(blank + 1);
            lines.push_back(std::move(line));
        }
        return lines;
    }

    void print(const std::vector<trace_line>& lines, const std::string& key, bool json, tool_environment& environment)
    {
        if (!json) {
            for (const auto& line : lines)
                environment.out << absl::StrFormat("%s %-16s %s\n", line.time, line.node, line.text);
            return;
        }
        nlohmann::json shown { { "key", key }, { "lines", nlohmann::json::array() } };
        for (const auto& line : lines)
            shown["lines"].push_back({ { "time", line.seconds }, { "node", line.node }, { "text", line.text } });
        environment.out << shown.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }

} // namespace

exit_code runTraceCommand(const std::vector<std::string>& arguments, tool_environment& environment)
{
    auto code = exit_code::Success;
    const auto parsed = parseArguments(Usage, arguments, environment, code);
    if (!parsed)
        return code;
    const bool json = parsed->at("--json").asBool();
    const auto key = parsed->at("<key>").asString();
    if (std::count(key.begin(), key.end(), '/') < 2 || key.size() > MaxKeyBytes)
        return reportFailure(
            { error_kind::BadRequest, "<key>: '" + key + "' is not fleet/team/key of at most 300 bytes" }, json,
            environment);
    const auto token = readToken(*parsed, environment);
    if (!token)
        return reportFailure(token.error(), json, environment);
    std::vector<trace_line> merged;
    for (const auto& address : parsed->at("--node").asStringList()) {
        const auto page = environment.nodes.read(address, "trace/" + percentEncoded(key), token.value());
        const auto lines = page ? parsePage(address, page.value()) : result<std::vector<trace_line>>(page.error());
        if (lines)
            merged.insert(merged.end(), lines.value().begin(), lines.value().end());
        else
            environment.err << "warning: " << lines.error().message << "\n";
    }
    if (merged.empty())
        return reportFailure(
            { error_kind::UnknownCall, "no node that answered remembers request " + key }, json, environment);
    std::stable_sort(merged.begin(), merged.end(),
        [](const trace_line& left, const trace_line& right) { return left.seconds < right.seconds; });
    print(merged, key, json, environment);
    return exit_code::Success;
}

} // namespace oriolepick
