/// \file
/// Immutable bytes with several owners.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace oriolepick {

/// Bytes that do not change. Copies share them, and they keep their address until the last copy is gone.
class shared_text {
public:
    shared_text() = default;

    shared_text(std::string text)
        : m_text(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    {
    }

    shared_text(const char* text)
        : shared_text(std::string(text))
    {
    }

    const std::string& string() const
    {
        static const std::string none;
        return m_text ? *m_text : none;
    }

    operator const std::string&() const { return string(); }
    operator std::string_view() const { return string(); }

    std::size_t size() const { return string().size(); }
    bool empty() const { return !m_text; }
    char front() const { return string().front(); }

    friend bool operator==(const shared_text& left, const shared_text& right)
    {
        return left.m_text == right.m_text || left.string() == right.string();
    }

    friend bool operator!=(const shared_text& left, const shared_text& right) { return !(left == right); }

private:
    std::shared_ptr<const std::string> m_text; // null if empty
};

} // namespace oriolepick
