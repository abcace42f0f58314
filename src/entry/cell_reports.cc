// Reports of targets to the cell's owner, by long polling: each target always
// has one request open.
#include <algorithm>

#include "buckthornmux/detail/entry/cell_host.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::Counter;
using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// How long a target waits for a task to end before it reports.
constexpr Millis kReportTimeout{500};
constexpr Millis kReportMargin{150};  ///< Network delay on top of the wait.
constexpr Millis kReportRetryDelay{200};
/// While task ends are not yet stored and acknowledged, a target would answer
/// each request immediately.
constexpr Millis kUnackedEndDelay{60};

}  // namespace

void CellHost::Report(const TargetId& id, const cell::Target& target,
                      Time now) {
  ReportLoop& loop = m_reports[id];
  const bool unacked = target.seen_end > target.acked_end;
  if (loop.in_flight || now < loop.next) {
    return;
  }
  loop.in_flight = true;
  cell::ReportCall call = cell::MakeReportCall(*m_cell, target, now);
  if (loop.plain) {
    call = {};
  }
  const bool for_one_life = call.deadline_ms > 0 || call.acked_end > 0;
  loop.plain = for_one_life;
  cell::OnReportSent(*m_cell, id, call, now);
  const bool first = !target.reported || !target.clock_known || unacked;
  const Millis wait = first ? Millis(0) : kReportTimeout;
  net::HttpRequest request = m_calls.report(id, call, m_cell->epoch, wait);
  if (for_one_life) {
    request.connected_by = call.connected_by;
  }
  m_client.Call(target.entry.address, std::move(request), wait + kReportMargin,
                [this, term = m_term, id, now](const auto& answer) {
                  if (term == m_term) {
                    HandleReport(id, now, answer);
                  }
                });
}

void CellHost::HandleReport(const TargetId& id, Time sent_at,
                            const Outcome<net::HttpResponse>& answer) {
  const Time now = Now();
  ReportLoop& loop = m_reports[id];
  loop.in_flight = false;
  loop.next = now;
  cell::OrderOutcome outcome = m_calls.outcome(answer);
  cell::Actions actions;
  if (outcome == cell::OrderOutcome::kDone) {
    auto report = Capture([&] {
      return m_calls.parse_report(std::get<net::HttpResponse>(answer).body);
    });
    if (const auto* good = std::get_if<cell::TargetReport>(&report)) {
      m_metrics.Count(Counter::kTasksEnded, good->ended.size());
      loop.plain = false;
      cell::Reported(*m_cell, actions, id, *good, sent_at, now);
    } else {
      LogLine("report_unreadable", Level::kWarning)
          .With("target", id)
          .With("reason", std::get<Error>(report).message);
      outcome = cell::OrderOutcome::kUnknown;
    }
  }
  if (outcome != cell::OrderOutcome::kDone) {
    // What was meant for one process is followed by a call to any.
    loop.next = loop.plain ? now : now + kReportRetryDelay;
    cell::ReportFailed(*m_cell, actions, id, outcome, now);
  }
  const auto target = m_cell->targets.find(id);
  if (target != m_cell->targets.end() &&
      target->second.seen_end > target->second.acked_end) {
    loop.next = std::max(loop.next, now + kUnackedEndDelay);
  }
  RunActions(std::move(actions));
  SchedulePump();
}

}  // namespace buckthornmux::entry
