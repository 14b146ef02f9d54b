#include "node/node_log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace oriolepick {

namespace {

    log4cxx::LoggerPtr logger()
    {
        static const auto instance = log4cxx::Logger::getLogger("oriolepickd");
        return instance;
    }

    std::string line(std::string_view event, std::initializer_list<log_field> fields)
    {
        std::string text(event);
        for (const auto& [name, value] : fields) {
            text += ' ';
            text += name;
            text += '=';
            // Values can hold outside input: line breaks would forge log lines.
            for (const char character : value)
                text += static_cast<unsigned char>(character) < ' ' ? '?' : character;
        }
        return text;
    }

} // namespace

void configureLog(const std::string& format, const std::string& level)
{
    log4cxx::LayoutPtr layout;
    if (format == "json")
        layout = std::make_shared<log4cxx::JSONLayout>();
    else
        layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

void logInfo(std::string_view event, std::initializer_list<log_field> fields)
{
    LOG4CXX_INFO(logger(), line(event, fields));
}

void logWarning(std::string_view event, std::initializer_list<log_field> fields)
{
    LOG4CXX_WARN(logger(), line(event, fields));
}

void logError(std::string_view event, std::initializer_list<log_field> fields)
{
    LOG4CXX_ERROR(logger(), line(event, fields));
}

} // namespace oriolepick
