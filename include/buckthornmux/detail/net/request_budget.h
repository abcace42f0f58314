/// Bound on the bytes that a process holds for unfinished input.
#pragma once

#include <cstdint>
#include <memory>

namespace buckthornmux::net {

/// Memory of a process whose configuration doesn't state it.
inline constexpr std::int64_t kDefaultMemoryMb = 512;
/// Part of a process's memory that input may take. At 120 MB this is 15 MB, or
/// 57 bodies of 262,144 bytes; the rest is for the cell and the records that a
/// takeover reads.
inline constexpr std::uint64_t kBudgetDivisor = 8;
/// Holders of up to this many bytes may use the whole budget, larger ones only
/// three quarters of it, so that small requests are served beside large ones.
inline constexpr std::uint64_t kSmallShareBytes = 32 << 10;

/// Limits of a budget, in bytes.
struct BudgetLimits {
  std::uint64_t total = 0;    ///< Of all holders.
  std::uint64_t large = 0;    ///< Of all, if the holder isn't small.
  std::uint64_t unknown = 0;  ///< Of all holders that are not known callers.
};

/// Bytes in use.
struct BudgetUse {
  std::uint64_t total = 0;
  std::uint64_t unknown = 0;
};

/// @brief Limits with a total; an eighth of it is for unknown callers.
[[nodiscard]] BudgetLimits LimitsOf(std::uint64_t total);

/// @brief Limits of a process.
/// @param memory_mb memory of the process; 0: not configured
[[nodiscard]] BudgetLimits LimitsForMemory(std::int64_t memory_mb);

/// @brief Whether a holder may grow.
/// @param use bytes of all others
/// @param bytes what the holder wants in total
/// @param known whether it is a known caller
[[nodiscard]] bool Fits(const BudgetLimits& limits, const BudgetUse& use,
                        std::uint64_t bytes, bool known);

/// Budget of one process; used on one thread.
struct RequestBudget {
  BudgetLimits limits;
  BudgetUse use;
};

/// @brief Part of a budget that one holder has; returned on destruction.
class BudgetShare {
 public:
  /// @param budget may be null: no bound
  /// @param known whether the holder is a known caller
  BudgetShare(std::shared_ptr<RequestBudget> budget, bool known);
  ~BudgetShare();
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;

  /// @brief Sets the number of bytes held. Always succeeds for fewer bytes.
  /// @return false if the budget doesn't allow it; the share is unchanged
  [[nodiscard]] bool Resize(std::uint64_t bytes);

  /// @brief Sets whether the holder is a known caller.
  /// @return false if the bytes held exceed what unknown callers may have; the
  ///   share is unchanged
  [[nodiscard]] bool SetKnown(bool known);

  /// @brief Returns all bytes.
  void Release();

 private:
  void Set(std::uint64_t bytes, bool known);

  std::shared_ptr<RequestBudget> m_budget;
  std::uint64_t m_bytes = 0;
  bool m_known;
};

}  // namespace buckthornmux::net
