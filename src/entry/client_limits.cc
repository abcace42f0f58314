#include "buckthornmux/detail/entry/client_limits.h"

#include <algorithm>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

/// An idle connection takes under 8 KB; all of them take at most an eighth of
/// the process's memory.
constexpr std::int64_t kConnectionsPerMb = 16;
constexpr Millis kReportInterval{1000};

std::size_t MaxConnections(std::int64_t memory_mb) {
  const std::int64_t known = memory_mb > 0 ? memory_mb : net::kDefaultMemoryMb;
  return static_cast<std::size_t>(known * kConnectionsPerMb);
}

}  // namespace

ClientLimits::ClientLimits(std::int64_t memory_mb, runtime::Metrics& metrics)
    : m_max_connections(MaxConnections(memory_mb)),
      m_budget(std::make_shared<net::RequestBudget>()),
      m_metrics(metrics) {
  m_budget->limits = net::LimitsForMemory(memory_mb);
}

void ClientLimits::Apply(std::string_view port,
                         net::HttpServerOptions& options) {
  options.budget = m_budget;
  options.max_connections =
      std::min(options.max_connections, m_max_connections);
  options.over_limit = [this,
                        name = std::string(port)](std::string_view limit) {
    Report(name, limit, Now());
  };
}

void ClientLimits::Report(std::string_view port, std::string_view limit,
                          Time now) {
  m_metrics.Count(runtime::Counter::kRequestsOverLimit);
  const std::string key = std::string(port) + "/" + std::string(limit);
  const auto [found, added] = m_reported.try_emplace(key);
  Reported& reported = found->second;
  if (!added && now - reported.at < kReportInterval) {
    ++reported.unlogged;
    return;
  }
  runtime::LogLine("client_over_limit")
      .With("port", port)
      .With("limit", limit)
      .With("unlogged", reported.unlogged)
      .With("held_bytes", m_budget->use.total);
  reported = {now, 0};
}

void ClientLimits::Tick() {
  m_metrics.Set(runtime::Gauge::kRequestBytes, m_budget->use.total);
}

}  // namespace buckthornmux::entry
