#include "targets/engine_load.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace oriolepick {

namespace {

    // Four fields of at most 20 digits need less; a longer header is not a load report.
    constexpr std::size_t MaxHeaderBytes = 256;

    template <typename Number> bool parseNumber(std::string_view digits, Number& number)
    {
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        return failure == std::errc() && end == digits.data() + digits.size();
    }

    bool parseField(std::string_view name, std::string_view digits, engine_load& load, std::array<bool, 4>& seen)
    {
        const std::array<std::pair<std::string_view, std::uint32_t*>, 3> small { { { "running", &load.running },
            { "waiting", &load.waiting }, { "batch", &load.batch } } };
        for (std::size_t index = 0; index < small.size(); ++index) {
            if (small[index].first == name)
                return !std::exchange(seen[index], true) && parseNumber(digits, *small[index].second);
        }
        return name == "kv_free" && !std::exchange(seen[3], true) && parseNumber(digits, load.kvFree);
    }

} // namespace

std::optional<engine_load> parseEngineLoad(std::string_view text)
{
    if (text.size() > MaxHeaderBytes)
        return std::nullopt;
    engine_load load;
    std::array<bool, 4> seen {};
    while (!text.empty()) {
        const auto field = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(field.size() + 1, text.size()));
        const auto separator = field.find('=');
        if (separator == std::string_view::npos
            || !parseField(field.substr(0, separator), field.substr(separator + 1), load, seen))
            return std::nullopt;
    }
    for (const bool present : seen) {
        if (!present)
            return std::nullopt;
    }
    return load;
}

std::string formatEngineLoad(const engine_load& load)
{
    return absl::StrCat(
        "running=", load.running, ";waiting=", load.waiting, ";batch=", load.batch, ";kv_free=", load.kvFree);
}

} // namespace oriolepick
