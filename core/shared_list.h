/// \file
/// An immutable list with several owners.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

namespace oriolepick {

/// Elements that do not change. Copies share them.
template <typename Element> class shared_list {
public:
    shared_list() = default;

    shared_list(std::vector<Element> elements)
        : m_elements(elements.empty() ? nullptr : std::make_shared<const std::vector<Element>>(std::move(elements)))
    {
    }

    shared_list(std::initializer_list<Element> elements)
        : shared_list(std::vector<Element>(elements))
    {
    }

    auto begin() const { return all().begin(); }
    auto end() const { return all().end(); }
    const Element& back() const { return all().back(); }
    const Element& operator[](std::size_t index) const { return all()[index]; }
    std::size_t size() const { return all().size(); }
    bool empty() const { return !m_elements; }

    friend bool operator==(const shared_list& left, const shared_list& right)
    {
        return left.m_elements == right.m_elements || left.all() == right.all();
    }

private:
    const std::vector<Element>& all() const
    {
        static const std::vector<Element> none;
        return m_elements ? *m_elements : none;
    }

    std::shared_ptr<const std::vector<Element>> m_elements; // null if empty
};

} // namespace oriolepick
