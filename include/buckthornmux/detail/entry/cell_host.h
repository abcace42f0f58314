/// Connects the cell that this host owns to the store, the targets and the
/// callers.
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
#include "buckthornmux/detail/entry/call_guard.h"
#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/journal_writer.h"
#include "buckthornmux/detail/entry/list_wait.h"
#include "buckthornmux/detail/entry/owner_calls.h"
#include "buckthornmux/detail/entry/owner_load.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/settings.h"
#include "buckthornmux/detail/entry/target_reader.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::entry {

/// Requests to targets and parsers of their responses. Supplied by the
/// platform's adapter, replaced in tests.
struct TargetCalls {
  std::function<net::HttpRequest(const cell::SendStart&, Epoch)> start;
  std::function<net::HttpRequest(const cell::SendStop&, Epoch)> stop;
  std::function<net::HttpRequest(const TargetId&, const cell::ReportCall&,
                                 Epoch, Millis wait)>
      report;
  std::function<cell::OrderOutcome(const Outcome<net::HttpResponse>&)> outcome;
  std::function<Result<cell::TargetReport>(std::string_view body)> parse_report;
};

/// Functions of the surrounding process that CellHost calls.
struct CellHostEvents {
  /// Sends the reply to a call received through HandleCall.
  std::function<void(const HostId& to, CellReply reply)> reply;
  /// Sends a request to the adviser through the host `lane`, which may be this
  /// host.
  std::function<void(const HostId& lane, AdviceRequest ask)> ask_adviser;
  /// A target rejected this host's epoch: another host owns the cell.
  std::function<void()> fenced;
  /// Another host owns the records in the store.
  std::function<void()> lost;
};

/// @brief Holds the cell while this host owns it: its state, its journal, and
///   the requests to its targets.
class CellHost {
 public:
  CellHost(boost::asio::io_context& io, const HostSettings& settings,
           const store::AsyncStore& store, net::HttpClient& client,
           runtime::Metrics& metrics, TargetCalls calls, CellHostEvents events);

  /// @brief Reads the records of the cell, then starts to serve it.
  /// @param former_lease_left how much longer the former owner may renew leases
  /// @param targets_unlisted for how much longer live targets may be missing
  ///   from the list
  void Open(const member::OwnerRecord& owner, Millis former_lease_left,
            Millis targets_unlisted = Millis(0));
  /// @brief Stops immediately; nothing more is sent.
  void Close(std::string_view why);
  /// @brief Accepts no new work; calls `done` once everything is stored.
  void Release(std::function<void()> done);
  /// @brief When the release began that isn't complete; nothing if none is in
  ///   progress.
  [[nodiscard]] std::optional<Time> ReleasingSince() const {
    return m_releasing_since;
  }
  /// @brief Sets whether this host's registration is valid. Without it, this
  ///   host sends no orders to targets.
  void SetLeaseHeld(bool held);

  [[nodiscard]] bool Owning() const { return m_owner.has_value(); }
  /// @brief Epoch of the owned cell; 0 if there is none.
  [[nodiscard]] Epoch OwnedEpoch() const {
    return m_owner ? m_owner->epoch : 0;
  }
  /// @brief When the last page of records arrived or the reading began; `now`
  ///   if no reading is in progress.
  [[nodiscard]] Time ReadingSince(Time now) const {
    return m_journal.ReadingSince().value_or(now);
  }
  /// @brief Whether the state is loaded, so that calls can be answered from it.
  [[nodiscard]] bool Serving() const { return m_cell && m_cell->loaded; }

  /// @brief State of the targets when this host last closed the cell, for the
  ///   next owner; nothing if it was passed on or is outdated.
  [[nodiscard]] const std::optional<FormerOwnerState>& FinalState() const {
    return m_final_state;
  }
  void ClearFinalState() { m_final_state.reset(); }
  [[nodiscard]] Time FinalStateAt() const { return m_final_state_at; }
  /// @brief Handles the target state that the former owner of the cell sent.
  void HandleFinalState(const FormerOwnerState& state);

  /// @brief Sets when former owners came, as far as it is known.
  void SetSightings(std::vector<cell::EpochSighting> sightings);
  /// @brief Whether jobs that were taken over wait for former owners' runs.
  [[nodiscard]] bool Recovering() const { return m_cell && !m_cell->recovered; }

  void SetRules(const RulesPtr& rules);
  /// @brief Sets the list of targets, as read since the cell was opened.
  void SetTargets(TargetList list);
  /// @brief Sets the data centres that are being evacuated, as read since the
  ///   cell was opened.
  void SetEvacuated(std::span<const DataCentre> data_centres);
  /// @brief Sets the hosts through which requests to the adviser are sent.
  void SetLanes(std::span<const HostId> hosts);

  /// @brief Handles a call. The reply goes to CellHostEvents::reply.
  void HandleCall(const HostId& from, const CellCall& call);
  /// @brief Refuses a call that the cell must not see.
  void Refuse(const HostId& from, const CellCall& call, ErrorKind error,
              std::string_view message);
  void OnAdviceAnswered(const AdviceReply& reply);

  /// @brief Typical time that targets take to answer starts.
  [[nodiscard]] Millis StartDelay(Time now) {
    return m_start_delays.Typical(now);
  }

  /// @brief Runs everything that is due.
  void Tick(Time now);

 private:
  struct ReportLoop {
    bool in_flight = false;
    Time next;
    /// The next call must suit any process: it renews and acknowledges nothing.
    bool plain = false;
  };

  void OnLoaded(std::vector<cell::RecordWrite> records);
  void ApplyFormerState();
  void ApplySightings();
  void ApplyTargets(const TargetList& list);
  void OnStored(const cell::Batch& batch);
  void RunActions(cell::Actions actions);
  void SchedulePump();
  void Pump();
  void WriteBatch(Time now);
  /// Leaves out a record of a batch that the store rejects; false if none may
  /// be left out.
  bool Shorten(cell::Batch& batch, std::string_view reason);
  void NoteOmitted(const cell::OmittedRecord& omitted, std::string_view reason);
  void Report(const TargetId& id, const cell::Target& target, Time now);
  void HandleReport(const TargetId& id, Time sent_at,
                    const Outcome<net::HttpResponse>& answer);
  [[nodiscard]] std::shared_ptr<const net::ConnectionCheck> CheckOf(
      const cell::SendStart& start) const;
  void Send(const cell::SendStart& start);
  void Send(const cell::SendStop& stop);
  void Reply(const std::optional<AddressedReply>& reply);
  void LogLoad() const;
  /// Logs what jobs that were taken over wait for.
  void LogRecovery(const cell::Load& load) const;
  /// Whether the list of targets alone keeps this host from starting tasks.
  [[nodiscard]] bool AwaitsList(Time now) const {
    return Serving() && MayOrder() && !cell::IsListRecent(*m_cell, now);
  }
  /// Whether orders may go to targets: this host's registration was valid when
  /// it was last looked at, and that was a moment ago. A host that was
  /// suspended gets to other events first.
  [[nodiscard]] bool MayOrder() const;

  HostSettings m_settings;
  net::HttpClient& m_client;
  runtime::Metrics& m_metrics;
  TargetCalls m_calls;
  CellHostEvents m_events;
  JournalWriter m_journal;
  std::optional<member::OwnerRecord> m_owner;
  std::unique_ptr<cell::Cell> m_cell;
  /// Incremented by Open and Close; answers to earlier requests are ignored.
  std::uint64_t m_term = 0;
  bool m_lease_held = false;
  Time m_lease_checked_at;
  RulesPtr m_rules;
  /// Read before the cell's records, and applied after them.
  std::optional<TargetList> m_early_targets;
  ListWait m_list_wait;
  std::vector<HostId> m_lanes;
  /// Empty until a list was read since the cell was opened.
  std::optional<std::vector<DataCentre>> m_evacuated;
  std::map<TargetId, ReportLoop> m_reports;
  OwnerCalls m_owner_calls;
  CallDelays m_start_delays;
  std::function<void()> m_released;  ///< Set while a release is in progress.
  std::optional<Time> m_releasing_since;
  /// State of the targets when this host last closed the cell.
  std::optional<FormerOwnerState> m_final_state;
  Time m_final_state_at;
  /// State of the targets as sent by the former owner.
  std::optional<FormerOwnerState> m_former_state;
  Time m_former_state_at;
  /// When former owners came, on this host's clock.
  std::vector<cell::EpochSighting> m_sightings;
  Time m_tick_at;
  Time m_load_logged;
  boost::asio::steady_timer m_pump_timer;
  bool m_pump_due = false;
  Millis m_pump_took{0};  ///< Duration of the last pump.
  Time m_pumped_at;
};

}  // namespace buckthornmux::entry
