#include "config/field_rule.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace oriolepick {

namespace {

    bool isAlphanumeric(char letter)
    {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
    }

    bool isDigest(std::string_view text)
    {
        return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char letter) {
            return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
        });
    }

    bool isAddress(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return false;
        int port = 0;
        const auto digits = text.substr(colon + 1);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port < 1 || port > 65535)
            return false;
        std::string host(text.substr(0, colon));
        std::array<unsigned char, sizeof(in6_addr)> parsedHost {};
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), parsedHost.data()) == 1;
        return inet_pton(AF_INET, host.c_str(), parsedHost.data()) == 1;
    }

    bool isOneOf(std::string_view text, std::initializer_list<std::string_view> words)
    {
        return std::find(words.begin(), words.end(), text) != words.end();
    }

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && isAlphanumeric(text.front())
        && std::all_of(text.begin(), text.end(),
            [](char letter) { return isAlphanumeric(letter) || letter == '.' || letter == '_' || letter == '-'; });
}

std::string_view problemOfText(text_form form, std::string_view text)
{
    if (text.size() > MaxTextBytes)
        return "is longer than 2048 bytes";
    switch (form) {
    case text_form::Any:
        return {};
    case text_form::Name:
        return isName(text) ? "" : "is not a name (letters, digits, '.', '_', '-', at most 64)";
    case text_form::OptionalName:
        return text.empty() || isName(text) ? "" : "is not a name (letters, digits, '.', '_', '-', at most 64)";
    case text_form::Digest:
        return isDigest(text) ? "" : "is not a SHA-256 digest of 64 lower-case hex digits";
    case text_form::Address:
        return isAddress(text) ? "" : "is not an address of the form ip:port";
    case text_form::Role:
        return isOneOf(text, { "mixed", "prefill", "decode" }) ? "" : "is none of mixed, prefill, decode";
    case text_form::Method:
        return isOneOf(text, { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" })
            ? ""
            : "is none of GET, HEAD, POST, PUT, PATCH, DELETE";
    }
    return {};
}

} // namespace oriolepick
