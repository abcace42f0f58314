/// Runs the decisions of the cell that this host owns.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"
#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/journal_writer.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/settings.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::entry {

/// How targets are spoken to; bound by the platform's adapter, replaced in
/// tests.
struct TargetCalls {
  std::function<net::HttpRequest(const cell::SendStart&, Epoch)> start;
  std::function<net::HttpRequest(const cell::SendStop&, Epoch)> stop;
  std::function<net::HttpRequest(const TargetId&, const cell::ReportCall&,
                                 Epoch, Millis wait)>
      report;
  std::function<cell::OrderOutcome(const Outcome<net::HttpResponse>&)> outcome;
  std::function<Result<cell::TargetReport>(std::string_view body)> parse_report;
};

/// What the cell's host needs of the process around it.
struct CellHostEvents {
  /// Answers a call that came through Call.
  std::function<void(const HostId& to, CellReply reply)> reply;
  /// Asks the adviser, here or through another host.
  std::function<void(const HostId& lane, AdviceAsk ask)> ask_adviser;
  /// Another owner was met.
  std::function<void()> fenced;
  /// The records are another's.
  std::function<void()> lost;
};

/// @brief The cell while this host owns it: its state, its journal, its orders.
class CellHost {
 public:
  CellHost(boost::asio::io_context& io, const HostSettings& settings,
           const store::AsyncStore& store, net::HttpClient& client,
           runtime::Metrics& metrics, TargetCalls calls, CellHostEvents events);

  /// @brief Reads the records of the cell and then serves it.
  /// @param former_acts how much longer the former owner may renew leases
  void Open(const member::OwnerRecord& owner, Millis former_acts);
  /// @brief Stops at once; nothing more is sent.
  void Close(std::string_view why);
  /// @brief Takes no new work; `done` once everything is stored.
  void Release(std::function<void()> done);
  /// @brief Whether the registration stands: nothing is ordered without it.
  void SetLeaseHeld(bool held);

  [[nodiscard]] bool Owning() const { return m_owner.has_value(); }
  /// @brief When the reading of records last brought a page; `now` where
  ///   nothing is being read.
  [[nodiscard]] Time ReadingSince(Time now) const {
    return m_journal.ReadingSince().value_or(now);
  }
  /// @brief Whether calls are answered from the cell's state.
  [[nodiscard]] bool Serving() const { return m_cell && m_cell->loaded; }

  /// @brief What this host knew of the targets when it last closed the cell,
  /// for
  ///   the next owner; nothing where it was told on or is outdated.
  [[nodiscard]] const std::optional<CellLeft>& Left() const { return m_left; }
  void ForgetLeft() { m_left.reset(); }
  [[nodiscard]] Time LeftAt() const { return m_left_at; }
  /// @brief Takes what the former owner of the cell has told.
  void TakeLeft(const CellLeft& left);

  void SetRules(const RulesPtr& rules);
  void SetTargets(std::span<const cell::TargetEntry> entries);
  void SetLanes(std::span<const HostId> hosts);

  /// @brief Takes a call; answered by CellHostEvents::reply.
  void Call(const HostId& from, const CellCall& call);
  void AdviceAnswered(const AdviceReply& reply);

  /// @brief Time passed.
  void Tick(Time now);

 private:
  struct ReportLoop {
    bool in_flight = false;
    Time next;
  };
  struct OpenCall {
    HostId from;
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
  };

  void Loaded(std::vector<cell::RecordWrite> records);
  void UseLeft();
  void Stored(const cell::Batch& batch);
  void Act(cell::Actions actions);
  void Proceed();
  void Pump();
  void WriteDue(Time now);
  void Report(const TargetId& id, const cell::Target& target, Time now);
  void ReportAnswered(const TargetId& id, Time sent_at,
                      const Outcome<net::HttpResponse>& answer);
  void Send(const cell::SendStart& start);
  void Send(const cell::SendStop& stop);
  void Reply(cell::CallId call, CellReply reply);
  void LogLoad() const;
  [[nodiscard]] bool MayOrder() const { return m_cell && m_lease_held; }

  HostSettings m_settings;
  net::HttpClient& m_client;
  runtime::Metrics& m_metrics;
  TargetCalls m_calls;
  CellHostEvents m_events;
  JournalWriter m_journal;
  std::optional<member::OwnerRecord> m_owner;
  std::unique_ptr<cell::Cell> m_cell;
  std::uint64_t m_term = 0;  ///< Of Open and Close; older answers are ignored.
  bool m_lease_held = false;
  RulesPtr m_rules;
  std::vector<cell::TargetEntry> m_entries;
  std::vector<HostId> m_lanes;
  std::map<TargetId, ReportLoop> m_reports;
  std::map<cell::CallId, OpenCall> m_open_calls;
  cell::CallId m_next_call = 1;
  std::function<void()> m_released;
  std::optional<CellLeft> m_left;  ///< By this host, as an owner.
  Time m_left_at;
  std::optional<CellLeft> m_told;  ///< By the former owner.
  Time m_told_at;
  Time m_tick_at;
  Time m_load_logged;
  boost::asio::steady_timer m_pump_timer;
  bool m_pump_due = false;
  Time m_pumped_at;
};

}  // namespace buckthornmux::entry
