#include "tool/metrics_text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <optional>

namespace oriolepick {

namespace {

    bool startsName(char symbol)
    {
        return absl::ascii_isalpha(static_cast<unsigned char>(symbol)) || symbol == '_' || symbol == ':';
    }

    bool continuesName(char symbol)
    {
        return startsName(symbol) || absl::ascii_isdigit(static_cast<unsigned char>(symbol));
    }

    std::string_view trimmed(std::string_view line)
    {
        constexpr std::string_view Blanks = " \t\r";
        const auto first = line.find_first_not_of(Blanks);
        return first == std::string_view::npos ? std::string_view()
                                               : line.substr(first, line.find_last_not_of(Blanks) - first + 1);
    }

    /// Reads one line; each function returns the fault, or an empty text.
    class line_reader {
    public:
        explicit line_reader(std::string_view line)
            : m_rest(line)
        {
        }

        std::string read(metric_sample& sample)
        {
            sample.name = takeName();
            if (sample.name.empty())
                return "does not start with a metric name";
            if (take('{')) {
                auto fault = readLabels(sample);
                if (!fault.empty())
                    return fault;
            }
            if (!skipBlanks())
                return "has no blank before the value";
            const std::string value(takeWord());
            if (!absl::SimpleAtod(value, &sample.value))
                return "value '" + value + "' is not a number";
            skipBlanks();
            const std::string time(takeWord());
            std::int64_t milliseconds = 0;
            if (!time.empty() && !absl::SimpleAtoi(time, &milliseconds))
                return "timestamp '" + time + "' is not an integer";
            skipBlanks();
            return m_rest.empty() ? "" : "has text after the timestamp";
        }

    private:
        std::string readLabels(metric_sample& sample)
        {
            while (!take('}')) {
                skipBlanks();
                const auto label = takeName();
                if (label.empty())
                    return "has a label without a name";
                if (!take('=') || !take('"'))
                    return "label '" + label + "' has no quoted value";
                auto value = takeQuoted();
                if (!value)
                    return "the value of label '" + label + "' is not closed or has an unknown escape";
                if (sample.labels.size() >= MaxMetricLabels)
                    return "has more than " + std::to_string(MaxMetricLabels) + " labels";
                if (!sample.labels.emplace(label, std::move(*value)).second)
                    return "label '" + label + "' appears twice";
                skipBlanks();
                if (!take(',') && (m_rest.empty() || m_rest.front() != '}'))
                    return "has no ',' or '}' after label '" + label + "'";
            }
            return "";
        }

        bool take(char symbol)
        {
            if (m_rest.empty() || m_rest.front() != symbol)
                return false;
            m_rest.remove_prefix(1);
            return true;
        }

        bool skipBlanks()
        {
            bool any = false;
            while (take(' ') || take('\t'))
                any = true;
            return any;
        }

        std::string takeName()
        {
            std::size_t length = 0;
            if (!m_rest.empty() && startsName(m_rest.front())) {
                while (length < m_rest.size() && continuesName(m_rest[length]))
                    ++length;
            }
            return std::string(takeFirst(length));
        }

        std::string_view takeWord() { return takeFirst(std::min(m_rest.find_first_of(" \t"), m_rest.size())); }

        std::string_view takeFirst(std::size_t length)
        {
            const auto word = m_rest.substr(0, length);
            m_rest.remove_prefix(length);
            return word;
        }

        std::optional<std::string> takeQuoted()
        {
            std::string value;
            while (!m_rest.empty()) {
                char symbol = takeFirst(1).front();
                if (symbol == '"')
                    return value;
                if (symbol == '\\') {
                    if (m_rest.empty())
                        return std::nullopt;
                    symbol = takeFirst(1).front();
                    if (symbol == 'n')
                        symbol = '\n';
                    else if (symbol != '\\' && symbol != '"')
                        return std::nullopt;
                }
                value.push_back(symbol);
            }
            return std::nullopt;
        }

        std::string_view m_rest;
    };

} // namespace

result<std::vector<metric_sample>> parseMetricsText(std::string_view text)
{
    if (text.size() > MaxScrapeBytes)
        return error { error_kind::BodyTooLarge,
            "a scrape is larger than " + std::to_string(MaxScrapeBytes) + " bytes" };
    std::vector<metric_sample> samples;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#')
            continue;
        const auto where = "line " + std::to_string(number) + ": ";
        if (line.size() > MaxMetricLineBytes)
            return error { error_kind::BodyTooLarge,
                where + "longer than " + std::to_string(MaxMetricLineBytes) + " bytes" };
        if (samples.size() >= MaxScrapeSamples)
            return error { error_kind::BodyTooLarge,
                where + "more than " + std::to_string(MaxScrapeSamples) + " samples" };
        metric_sample sample;
        const auto fault = line_reader(line).read(sample);
        if (!fault.empty())
            return error { error_kind::BadRequest, where + fault };
        samples.push_back(std::move(sample));
    }
    return samples;
}

} // namespace oriolepick
