#include "buckthornmux/detail/cli/load_report.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace buckthornmux::cli {
namespace {

namespace bh = boost::histogram;

constexpr double kShortestMs = 0.01;
constexpr double kLongestMs = 1e6;
constexpr unsigned kBins = 1000;  // Each 1.9 % wide.
constexpr double kMicrosPerMilli = 1000;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis{}));

}  // namespace

struct LoadReport::Impl {
  Histogram waits = bh::make_histogram(LogAxis(kBins, kShortestMs, kLongestMs));
  double worst = 0;
  double count = 0;
  std::map<std::string, std::uint64_t, std::less<>> outcomes;

  /// Upper edge of the bin that holds a quantile, but no more than the worst.
  [[nodiscard]] double Quantile(double part) const {
    double seen = 0;
    for (auto&& bin : bh::indexed(waits, bh::coverage::all)) {
      seen += *bin;
      if (seen > 0 && seen >= part * count) {
        return std::min(bin.bin().upper(), worst);
      }
    }
    return worst;
  }
};

LoadReport::LoadReport() : m_impl(std::make_unique<Impl>()) {}
LoadReport::~LoadReport() = default;

void LoadReport::Record(std::string_view outcome,
                        std::chrono::microseconds wait) {
  const double millis = static_cast<double>(wait.count()) / kMicrosPerMilli;
  m_impl->waits(millis);
  m_impl->worst = std::max(m_impl->worst, millis);
  m_impl->count += 1;
  ++m_impl->outcomes[std::string(outcome)];
}

WaitSummary LoadReport::Waits() const {
  constexpr double kMedian = 0.5;
  constexpr double kNinetieth = 0.9;
  constexpr double kNinetyNinth = 0.99;
  return {m_impl->Quantile(kMedian), m_impl->Quantile(kNinetieth),
          m_impl->Quantile(kNinetyNinth), m_impl->worst};
}

const std::map<std::string, std::uint64_t, std::less<>>& LoadReport::Outcomes()
    const {
  return m_impl->outcomes;
}

}  // namespace buckthornmux::cli
