#include "buckthornmux/detail/net/request_budget.h"

#include <utility>

namespace buckthornmux::net {
namespace {

constexpr std::uint64_t kBytesPerMb = 1 << 20;
constexpr std::uint64_t kUnknownDivisor = 8;
constexpr std::uint64_t kReservedDivisor = 4;

}  // namespace

BudgetLimits LimitsOf(std::uint64_t total) {
  return {total, total - total / kReservedDivisor, total / kUnknownDivisor};
}

BudgetLimits LimitsForMemory(std::int64_t memory_mb) {
  const std::int64_t known = memory_mb > 0 ? memory_mb : kDefaultMemoryMb;
  return LimitsOf(static_cast<std::uint64_t>(known) * kBytesPerMb /
                  kBudgetDivisor);
}

bool Fits(const BudgetLimits& limits, const BudgetUse& use, std::uint64_t bytes,
          bool known) {
  const std::uint64_t most =
      bytes <= kSmallShareBytes ? limits.total : limits.large;
  // In this form the sums can't overflow.
  const bool in_total = bytes <= most && use.total <= most - bytes;
  const bool in_unknown = known || (bytes <= limits.unknown &&
                                    use.unknown <= limits.unknown - bytes);
  return in_total && in_unknown;
}

BudgetShare::BudgetShare(std::shared_ptr<RequestBudget> budget, bool known)
    : m_budget(std::move(budget)), m_known(known) {}

BudgetShare::~BudgetShare() { Release(); }

void BudgetShare::Release() { Set(0, m_known); }

bool BudgetShare::Resize(std::uint64_t bytes) {
  if (m_budget && bytes > m_bytes) {
    BudgetUse others = m_budget->use;
    others.total -= m_bytes;
    others.unknown -= m_known ? 0 : m_bytes;
    if (!Fits(m_budget->limits, others, bytes, m_known)) {
      return false;
    }
  }
  Set(bytes, m_known);
  return true;
}

bool BudgetShare::SetKnown(bool known) {
  if (m_budget && m_known && !known &&
      m_budget->use.unknown + m_bytes > m_budget->limits.unknown) {
    return false;
  }
  Set(m_bytes, known);
  return true;
}

void BudgetShare::Set(std::uint64_t bytes, bool known) {
  if (m_budget) {
    BudgetUse& use = m_budget->use;
    use.total = use.total - m_bytes + bytes;
    use.unknown -= m_known ? 0 : m_bytes;
    use.unknown += known ? 0 : bytes;
  }
  m_bytes = bytes;
  m_known = known;
}

}  // namespace buckthornmux::net
