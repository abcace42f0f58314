/// A set of numbers, stored as ranges.
#pragma once

#include <cstdint>
#include <iterator>
#include <map>

namespace buckthornmux::cell {

/// @brief A set of 32-bit numbers. Its memory depends on the number of gaps,
///   not on the number of elements.
class NumberRanges {
 public:
  /// @brief Adds the numbers from `first` to `last`, both included. None of
  ///   them may be in the set.
  void Add(std::uint32_t first, std::uint32_t last) {
    m_count += std::uint64_t{last} - first + 1;
    const auto next = m_ranges.upper_bound(first);
    if (next != m_ranges.end() && std::uint64_t{last} + 1 == next->first) {
      last = next->second;
      m_ranges.erase(next);
    }
    const auto after = m_ranges.upper_bound(first);
    if (after != m_ranges.begin()) {
      const auto before = std::prev(after);
      if (std::uint64_t{before->second} + 1 == first) {
        before->second = last;
        return;
      }
    }
    m_ranges.emplace(first, last);
  }
  void Add(std::uint32_t number) { Add(number, number); }

  /// @return false if the number isn't in the set
  bool Remove(std::uint32_t number) {
    auto after = m_ranges.upper_bound(number);
    if (after == m_ranges.begin() || std::prev(after)->second < number) {
      return false;
    }
    const auto [first, last] = *std::prev(after);
    m_ranges.erase(std::prev(after));
    if (first < number) {
      m_ranges.emplace(first, number - 1);
    }
    if (number < last) {
      m_ranges.emplace(number + 1, last);
    }
    --m_count;
    return true;
  }

  [[nodiscard]] bool Contains(std::uint32_t number) const {
    const auto after = m_ranges.upper_bound(number);
    return after != m_ranges.begin() && std::prev(after)->second >= number;
  }
  /// @brief Whether any of the numbers from `first` to `last` is in the set.
  [[nodiscard]] bool Overlaps(std::uint32_t first, std::uint32_t last) const {
    const auto after = m_ranges.upper_bound(last);
    return after != m_ranges.begin() && std::prev(after)->second >= first;
  }
  /// @brief Returns the lowest number that is not below `from` and not in the
  ///   set.
  [[nodiscard]] std::uint64_t NextMissing(std::uint32_t from) const {
    const auto after = m_ranges.upper_bound(from);
    return after != m_ranges.begin() && std::prev(after)->second >= from
               ? std::uint64_t{std::prev(after)->second} + 1
               : from;
  }
  [[nodiscard]] bool Empty() const { return m_ranges.empty(); }
  /// @brief Returns the lowest number. Requires a set that isn't empty.
  [[nodiscard]] std::uint32_t First() const { return m_ranges.begin()->first; }
  [[nodiscard]] std::uint64_t Count() const { return m_count; }
  /// @brief Returns the ranges in order, first number to last number.
  [[nodiscard]] const std::map<std::uint32_t, std::uint32_t>& Ranges() const {
    return m_ranges;
  }

 private:
  std::map<std::uint32_t, std::uint32_t> m_ranges;
  std::uint64_t m_count = 0;
};

}  // namespace buckthornmux::cell
