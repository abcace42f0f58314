#include "buckthornmux/detail/entry/cell_host.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/round_pacing.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::Counter;
using runtime::Gauge;
using runtime::LogLine;
using Level = runtime::LogLine::Level;

constexpr Millis kTickInterval{50};
/// A start or stop without an answer within this time is sent again. A healthy
/// target answers within some milliseconds.
constexpr Millis kOrderTimeout{150};
constexpr Millis kLoadLogInterval{1000};
/// No order leaves once the registration was last looked at longer ago. Less
/// than the time in which a replaced owner learns of that, so that a next owner
/// waits long enough for what a suspended one sends as it wakes.
constexpr Millis kMaxLeaseCheckAge{1000};
/// A start that leaves this much later than it was decided is logged.
constexpr Millis kLoggedStartDelay{20};
/// If a write waits longer, the store counts as failing.
constexpr Millis kStoreStallTimeout{500};
/// Upper bound of a target's lease. A new owner is elected and reads the cell's
/// state within this time.
constexpr Millis kMaxTargetLease{5000};

/// Memory of jobs on a host. It is bounded by what the smallest hosts have,
/// since any of them may be the next owner.
std::size_t MaxJobBytes(const HostCapacity& capacity) {
  constexpr std::size_t kMegabyte = 1'000'000;
  constexpr std::size_t kPercent = 30;
  constexpr std::size_t kMost = 48 * kMegabyte;
  if (capacity.memory_mb <= 0) {
    return kMost;
  }
  const auto memory = static_cast<std::size_t>(capacity.memory_mb);
  return std::min(kMost, memory * kMegabyte / 100 * kPercent);
}

cell::Options OptionsOf(const HostSettings& settings) {
  constexpr Millis kStatusSlack{10'000};
  const Bounds& bounds = settings.bounds;
  cell::Options options;
  options.max_job_bytes = MaxJobBytes(settings.capacity);
  options.max_value_bytes = settings.max_value_bytes;
  options.lease = std::min(kMaxTargetLease, bounds.longest_lease);
  options.stop_time = bounds.stop_time;
  options.interference = settings.interference;
  // Work that waited for a gang begins before it would count as lost.
  constexpr Millis kStartSlack{1000};
  options.first_hold_limit =
      std::max(bounds.finish / 2, bounds.finish - kStartSlack);
  // Leaves time for several queries before the wait counts as too long.
  constexpr int kPatiencePart = 7;
  options.gang_advice_patience = bounds.finish / kPatiencePart;
  options.max_list_age = MaxListAge(bounds.drain_within);
  options.await_evacuations = bounds.evacuate_within > Millis(0);
  options.avoid_cold = options.await_evacuations;
  options.job_retention = bounds.status_kept + kStatusSlack;
  return options;
}

void Log(const cell::Decision& decision) {
  LogLine line(decision.event);
  for (const auto& [key, value] : decision.fields) {
    line.With(key, value);
  }
}

}  // namespace

CellHost::CellHost(boost::asio::io_context& io, const HostSettings& settings,
                   const store::AsyncStore& store, net::HttpClient& client,
                   runtime::Metrics& metrics, TargetCalls calls,
                   CellHostEvents events)
    : m_settings(settings),
      m_client(client),
      m_metrics(metrics),
      m_calls(std::move(calls)),
      m_events(std::move(events)),
      m_journal(store, {[this](auto records) { OnLoaded(std::move(records)); },
                        [this](const auto& batch) { OnStored(batch); },
                        [this] { m_events.lost(); },
                        [this](auto& batch, std::string_view reason) {
                          return Shorten(batch, reason);
                        }}),
      m_pump_timer(io) {}

void CellHost::Open(const member::OwnerRecord& owner, Millis former_lease_left,
                    Millis targets_unlisted) {
  Close("reopened");
  m_owner = owner;
  m_cell = std::make_unique<cell::Cell>();
  m_cell->options = OptionsOf(m_settings);
  m_cell->epoch = owner.epoch;
  m_cell->claimed_at = Now();
  m_cell->former_renewals_until = m_cell->claimed_at + former_lease_left;
  m_cell->targets_listed_by = m_cell->claimed_at + targets_unlisted;
  m_cell->wall_offset = WallOffset();
  m_metrics.Count(Counter::kRangesGained);
  m_journal.Open(owner);
}

void CellHost::Close(std::string_view why) {
  ++m_term;
  if (!m_owner) {
    return;
  }
  LogLine("cell_closed")
      .With("range", m_owner->range)
      .With("epoch", m_owner->epoch)
      .With("reason", why)
      .With("open_calls",
            static_cast<std::uint64_t>(m_owner_calls.open.size()));
  m_metrics.Count(Counter::kRangesLost);
  if (Serving()) {
    m_final_state_at = Now();
    LogRecovery(cell::LoadOf(*m_cell, m_final_state_at));
    m_final_state = FormerOwnerState{
        m_owner->range, m_owner->epoch,
        cell::EncodeFormerOwnerState(*m_cell, m_final_state_at), Millis(0)};
  }
  m_journal.Close();
  m_owner.reset();
  m_cell.reset();
  m_early_targets.reset();
  m_list_wait = {};
  m_evacuated.reset();
  for (const Gauge gauge :
       {Gauge::kOccurrencesWaiting, Gauge::kJobsBehind, Gauge::kStepsWaiting,
        Gauge::kRuns, Gauge::kJobBytes, Gauge::kTargetsEvacuated,
        Gauge::kInterferingPairs, Gauge::kHeadroomCpu, Gauge::kIdleBesideWork,
        Gauge::kTargetListAge, Gauge::kUnrecovered, Gauge::kGangsWaiting,
        Gauge::kLongestGangWait}) {
    m_metrics.Set(gauge, 0);
  }
  m_reports.clear();
  m_released = nullptr;
  m_releasing_since.reset();
  for (const AddressedReply& late : CloseCalls(m_owner_calls)) {
    m_events.reply(late.to, late.reply);
  }
}

void CellHost::Release(std::function<void()> done) {
  if (!m_cell || !m_cell->loaded) {
    Close("released");
    done();
    return;
  }
  m_released = std::move(done);
  m_releasing_since = Now();
  m_cell->options.write_delay = Millis(0);
  SchedulePump();
}

void CellHost::SetLeaseHeld(bool held) {
  m_lease_held = held;
  m_lease_checked_at = Now();
}

bool CellHost::MayOrder() const {
  return m_cell && m_lease_held &&
         Now() - m_lease_checked_at <= kMaxLeaseCheckAge;
}

void CellHost::OnLoaded(std::vector<cell::RecordWrite> records) {
  const Time now = Now();
  cell::Actions actions;
  if (m_rules) {
    cell::SetRules(*m_cell, actions, *m_rules, now);
  }
  auto outcome =
      Capture([&] { return cell::LoadRecords(*m_cell, records, now); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    LogLine("records_unreadable", Level::kError)
        .With("range", m_owner->range)
        .With("reason", error->message);
    Close("records unreadable");
    return;
  }
  LogLine("records_read")
      .With("range", m_owner->range)
      .With("epoch", m_owner->epoch)
      .With("records", static_cast<std::uint64_t>(records.size()))
      .With("jobs", static_cast<std::uint64_t>(std::get<std::size_t>(outcome)))
      .With("pages", m_journal.LastReading().pages)
      .With("bytes", m_journal.LastReading().bytes)
      .With("failures", m_journal.LastReading().failures)
      .With("took_ms", (now - m_cell->claimed_at).count());
  if (const auto targets = std::exchange(m_early_targets, std::nullopt)) {
    ApplyTargets(*targets);
  }
  if (m_evacuated) {
    cell::SetEvacuated(*m_cell, actions, *m_evacuated, now);
  }
  cell::SetLanes(*m_cell, m_lanes);
  cell::StartService(*m_cell, actions, now);
  RunActions(std::move(actions));
  ApplyFormerState();
  ApplySightings();
  LogRecovery(cell::LoadOf(*m_cell, now));
  SchedulePump();
}

void CellHost::HandleFinalState(const FormerOwnerState& state) {
  m_former_state = state;
  m_former_state_at = Now();
  ApplyFormerState();
}

/// Applies the former owner's target state. It is valid only for the owner of
/// the next epoch.
void CellHost::ApplyFormerState() {
  if (!m_former_state || !Serving() ||
      m_former_state->epoch + 1 != m_cell->epoch) {
    return;
  }
  const FormerOwnerState state = std::move(*m_former_state);
  m_former_state.reset();
  const Time now = Now();
  cell::Actions actions;
  const auto outcome = Capture([&] {
    return cell::ApplyFormerOwnerState(*m_cell, actions, state.targets,
                                       state.age + (now - m_former_state_at),
                                       now);
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    LogLine("former_owner_unreadable", Level::kWarning)
        .With("epoch", state.epoch)
        .With("reason", error->message);
  }
  RunActions(std::move(actions));
  SchedulePump();
}

void CellHost::SetSightings(std::vector<cell::EpochSighting> sightings) {
  m_sightings = std::move(sightings);
  ApplySightings();
}

void CellHost::ApplySightings() {
  if (!Serving() || m_cell->recovered) {
    return;
  }
  cell::Actions actions;
  cell::ApplySightings(*m_cell, actions, m_sightings, Now());
  RunActions(std::move(actions));
  SchedulePump();
}

void CellHost::OnStored(const cell::Batch& batch) {
  m_metrics.Count(Counter::kJournalWrites);
  m_metrics.Count(Counter::kJournalRecords, batch.writes.size());
  cell::Actions actions;
  cell::SetStoreHealthy(*m_cell, actions, true);
  cell::OnBatchStored(*m_cell, actions, batch, Now());
  RunActions(std::move(actions));
  SchedulePump();
}

void CellHost::SetRules(const RulesPtr& rules) {
  m_rules = rules;
  if (m_cell && rules) {
    cell::Actions actions;
    cell::SetRules(*m_cell, actions, *rules, Now());
    RunActions(std::move(actions));
    SchedulePump();
  }
}

void CellHost::SetTargets(TargetList list) {
  if (!m_cell) {
    return;  // A later term of ownership needs a later list.
  }
  if (!Serving()) {
    m_early_targets = std::move(list);
    return;
  }
  ApplyTargets(list);
  SchedulePump();
}

void CellHost::ApplyTargets(const TargetList& list) {
  const Time now = Now();
  LogLine("targets_applied")
      .With("epoch", m_cell->epoch)
      .With("entries", static_cast<std::uint64_t>(list.entries.size()))
      .With("pages", static_cast<std::uint64_t>(list.pages))
      .With("age_ms", (now - list.as_of).count());
  cell::Actions actions;
  cell::SetTargets(*m_cell, actions, list.entries, list.as_of, now);
  RunActions(std::move(actions));
}

void CellHost::SetEvacuated(std::span<const DataCentre> data_centres) {
  if (!m_cell) {
    return;  // A later term of ownership needs a later list.
  }
  m_evacuated.emplace(data_centres.begin(), data_centres.end());
  if (Serving()) {
    cell::Actions actions;
    cell::SetEvacuated(*m_cell, actions, *m_evacuated, Now());
    RunActions(std::move(actions));
    SchedulePump();
  }
}

void CellHost::SetLanes(std::span<const HostId> hosts) {
  m_lanes.assign(hosts.begin(), hosts.end());
  if (m_cell) {
    cell::SetLanes(*m_cell, hosts);
  }
}

void CellHost::Refuse(const HostId& from, const CellCall& call, ErrorKind error,
                      std::string_view message) {
  m_events.reply(
      from, RefuseCall(m_owner_calls, Serving() ? m_cell.get() : nullptr, call,
                       error, std::string(message), Now()));
}

void CellHost::HandleCall(const HostId& from, const CellCall& call) {
  // Without a valid registration another host may already own the cell.
  if (!Serving() || m_released || !m_lease_held) {
    Refuse(from, call,
           m_owner ? ErrorKind::kNotReady : ErrorKind::kOwnerUnknown,
           "this host does not serve the cell now");
    return;
  }
  cell::Actions actions;
  const auto reply =
      ApplyCall(m_owner_calls, *m_cell, actions, from, call, Now());
  if (reply) {
    m_metrics.Count(Counter::kCallsStale,
                    reply->error == ErrorKind::kOwnerStale ? 1 : 0);
    m_events.reply(from, *reply);
  }
  RunActions(std::move(actions));
  if (!reply) {
    SchedulePump();
  }
}

void CellHost::OnAdviceAnswered(const AdviceReply& reply) {
  if (!Serving() || reply.epoch != m_cell->epoch) {
    return;
  }
  cell::Actions actions;
  cell::OnAdviceAnswered(*m_cell, actions, reply.ask, reply.answered,
                         reply.tickets, Now());
  RunActions(std::move(actions));
  SchedulePump();
}

void CellHost::Reply(const std::optional<AddressedReply>& reply) {
  if (reply) {
    m_events.reply(reply->to, reply->reply);
  }
}

// ---- Actions ----------------------------------------------------------------

void CellHost::RunActions(cell::Actions actions) {
  for (cell::Action& action : actions) {
    if (auto* decision = std::get_if<cell::Decision>(&action)) {
      Log(*decision);
    } else if (auto* submit = std::get_if<cell::AnswerSubmit>(&action)) {
      Reply(TakeReply(m_owner_calls, *submit, Now()));
    } else if (auto* cancel = std::get_if<cell::AnswerCancel>(&action)) {
      Reply(TakeReply(m_owner_calls, *cancel, Now()));
    } else if (auto* start = std::get_if<cell::SendStart>(&action)) {
      Send(*start);
    } else if (auto* stop = std::get_if<cell::SendStop>(&action)) {
      Send(*stop);
    } else if (auto* ask = std::get_if<cell::AskAdvice>(&action)) {
      m_events.ask_adviser(ask->lane, {ask->ask, m_cell->epoch, ask->step,
                                       std::move(ask->targets), ask->timeout});
    } else if (std::holds_alternative<cell::FencedOff>(action)) {
      m_events.fenced();
    }
  }
}

/// A look at a target's report, which tells whether a new connection leads to
/// the process that a start is meant for.
std::shared_ptr<const net::ConnectionCheck> CellHost::CheckOf(
    const cell::SendStart& start) const {
  auto check = std::make_shared<net::ConnectionCheck>();
  check->process = start.target + '/' + std::to_string(start.life);
  check->call = m_calls.report(start.target, {}, m_cell->epoch, Millis(0));
  check->accepts = [outcome_of = m_calls.outcome, parse = m_calls.parse_report,
                    life = start.life](const net::HttpResponse& response) {
    if (outcome_of(response) != cell::OrderOutcome::kDone) {
      return false;
    }
    const auto report = Capture([&] { return parse(response.body); });
    const auto* good = std::get_if<cell::TargetReport>(&report);
    return good != nullptr && good->life == life;
  };
  return check;
}

void CellHost::Send(const cell::SendStart& start) {
  const auto target = m_cell->targets.find(start.target);
  const auto answered = [this, term = m_term, id = start.target,
                         run = start.run](cell::OrderOutcome outcome) {
    if (term != m_term) {
      return;
    }
    cell::Actions actions;
    cell::StartAnswered(*m_cell, actions, id, run, outcome, Now());
    RunActions(std::move(actions));
    SchedulePump();
  };
  if (!MayOrder() || target == m_cell->targets.end()) {
    answered(cell::OrderOutcome::kNotSent);
    return;
  }
  m_metrics.Count(Counter::kTasksStarted);
  net::HttpRequest request = m_calls.start(start, m_cell->epoch);
  request.connected_by = start.connected_by;
  request.check = CheckOf(start);
  request.send_by = start.send_by;
  const Time began = Now();
  const Millis list_age = cell::ListAge(*m_cell, began);
  request.on_send = [id = start.target, run = start.run, began, list_age] {
    const Millis delay = Now() - began;
    if (delay >= kLoggedStartDelay) {
      LogLine("start_sent_late", Level::kWarning)
          .With("job", run.task.job)
          .With("run", std::uint64_t{run.number})
          .With("target", id)
          .With("delay_ms", delay.count())
          .With("list_age_ms", (list_age + delay).count());
    }
  };
  m_start_delays.Began(began);
  m_client.Call(target->second.entry.address, std::move(request), kOrderTimeout,
                [this, answered, began](const auto& answer) {
                  m_start_delays.Ended(began, Now());
                  answered(m_calls.outcome(answer));
                });
}

void CellHost::Send(const cell::SendStop& stop) {
  const auto target = m_cell->targets.find(stop.target);
  if (target == m_cell->targets.end()) {
    return;
  }
  m_metrics.Count(Counter::kTasksStopped);
  m_client.Call(target->second.entry.address, m_calls.stop(stop, m_cell->epoch),
                kOrderTimeout,
                [this, term = m_term, id = stop.target,
                 run = stop.run](const auto& answer) {
                  if (term != m_term) {
                    return;
                  }
                  cell::Actions actions;
                  cell::OnStopAnswered(*m_cell, actions, id, run,
                                       m_calls.outcome(answer), Now());
                  RunActions(std::move(actions));
                  SchedulePump();
                });
}

// ---- Time -------------------------------------------------------------------

bool CellHost::Shorten(cell::Batch& batch, std::string_view reason) {
  const auto omitted = cell::ShortenBatch(batch);
  if (omitted) {
    NoteOmitted(*omitted, reason);
  }
  return omitted.has_value();
}

void CellHost::NoteOmitted(const cell::OmittedRecord& omitted,
                           std::string_view reason) {
  m_metrics.Count(Counter::kRecordsOmitted);
  LogLine("record_omitted", Level::kError)
      .With("range", m_owner->range)
      .With("key", omitted.key)
      .With("bytes", static_cast<std::uint64_t>(omitted.bytes))
      .With("reason", reason);
}

void CellHost::WriteBatch(Time now) {
  if (!m_journal.Ready()) {
    return;
  }
  auto batch = cell::TakeBatch(*m_cell, JournalWriter::MaxBatchWrites(), now);
  if (batch) {
    for (const cell::OmittedRecord& omitted : batch->omitted) {
      NoteOmitted(omitted, "longer than a value of the store");
    }
    m_journal.Write(std::move(*batch), now);
  } else if (m_released && m_cell->writes.count == 0) {
    const auto done = std::exchange(m_released, nullptr);
    Close("released");
    done();
  }
}

/// Schedules a Pump, so that all events within kRoundInterval share it.
void CellHost::SchedulePump() {
  if (m_pump_due) {
    return;
  }
  m_pump_due = true;
  m_pump_timer.expires_after(
      DelayOfNextRound(m_pump_took, Now() - m_pumped_at));
  m_pump_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      m_pump_due = false;
      const Time began = Now();
      Pump();
      m_pump_took = Now() - began;
    }
  });
}

/// Plans if necessary, writes the next batch, and requests the targets'
/// reports.
void CellHost::Pump() {
  if (!Serving()) {
    return;
  }
  const Time now = Now();
  m_pumped_at = now;
  if (m_cell->plan_due && MayOrder() && !m_released) {
    cell::Actions actions;
    cell::Plan(*m_cell, actions, now);
    RunActions(std::move(actions));
  }
  WriteBatch(now);
  if (!MayOrder()) {
    return;
  }
  for (const auto& [id, target] : m_cell->targets) {
    Report(id, target, now);
  }
}

void CellHost::LogRecovery(const cell::Load& load) const {
  if (m_cell->recovered) {
    return;
  }
  LogLine("recovery_awaited")
      .With("epoch", m_cell->epoch)
      .With("owned_ms", (Now() - m_cell->claimed_at).count())
      .With("unrecovered_ms", load.unrecovered.count())
      .With("targets", static_cast<std::uint64_t>(load.unreported))
      .With("last", load.unreported_last)
      .With("last_owner", load.unreported_owner)
      .With("left_ms", load.unreported_for.count())
      .With("bound", load.unreported_bound)
      .With("steps", static_cast<std::uint64_t>(load.adopted_waiting));
}

/// Logs the load of the cell, which gives context to the logged decisions.
void CellHost::LogLoad() const {
  const Time now = Now();
  const cell::Load load = cell::LoadOf(*m_cell, now);
  m_metrics.Set(Gauge::kOccurrencesWaiting, load.occurrences_waiting);
  m_metrics.Set(Gauge::kJobsBehind, load.jobs_behind);
  m_metrics.Set(Gauge::kStepsWaiting, load.steps_waiting);
  m_metrics.Set(Gauge::kRuns, load.runs);
  m_metrics.Set(Gauge::kJobBytes, load.job_bytes);
  m_metrics.Set(Gauge::kTargetsReserved, load.targets_reserved);
  m_metrics.Set(Gauge::kTargetsEvacuated, load.targets_evacuated);
  m_metrics.Set(Gauge::kSuspectsWaiting, load.suspects_waiting);
  m_metrics.Set(Gauge::kInterferingPairs, load.interfering_pairs);
  m_metrics.Set(Gauge::kLongestCrashHold,
                static_cast<std::uint64_t>(load.longest_crash_hold.count()));
  m_metrics.Set(Gauge::kHeadroomCpu,
                static_cast<std::uint64_t>(load.headroom_cpu_milli));
  m_metrics.Set(Gauge::kIdleBesideWork,
                static_cast<std::uint64_t>(load.idle_beside_work.count()));
  m_metrics.Set(Gauge::kTargetListAge,
                static_cast<std::uint64_t>(load.list_age.count()));
  m_metrics.Set(Gauge::kUnrecovered,
                static_cast<std::uint64_t>(load.unrecovered.count()));
  m_metrics.Set(Gauge::kGangsWaiting, load.gangs_waiting);
  m_metrics.Set(Gauge::kLongestGangWait,
                static_cast<std::uint64_t>(load.longest_gang_wait.count()));
  LogRecovery(load);
  LogLine("cell_load")
      .With("epoch", m_cell->epoch)
      .With("targets", static_cast<std::uint64_t>(load.targets))
      .With("cpu_milli", load.capacity.cpu_milli)
      .With("free_cpu_milli", load.free.cpu_milli)
      .With("free_memory_mb", load.free.memory_mb)
      .With("waiting_cpu_milli", load.waiting_cpu_milli)
      .With("limited_cpu_milli", load.limited_cpu_milli)
      .With("steps_waiting", static_cast<std::uint64_t>(load.steps_waiting))
      .With("steps_without_ticket",
            static_cast<std::uint64_t>(load.steps_without_ticket))
      .With("gangs_waiting", static_cast<std::uint64_t>(load.gangs_waiting))
      .With("longest_gang_wait_ms", load.longest_gang_wait.count())
      .With("lanes_busy", static_cast<std::uint64_t>(load.lanes_busy))
      .With("occurrences_waiting", load.occurrences_waiting)
      .With("jobs_behind", static_cast<std::uint64_t>(load.jobs_behind))
      .With("runs", static_cast<std::uint64_t>(load.runs))
      .With("job_bytes", static_cast<std::uint64_t>(load.job_bytes))
      .With("max_job_bytes",
            static_cast<std::uint64_t>(m_cell->options.max_job_bytes))
      .With("interfering_pairs",
            static_cast<std::uint64_t>(load.interfering_pairs))
      .With("headroom_cpu_milli", load.headroom_cpu_milli)
      .With("idle_beside_work_ms", load.idle_beside_work.count())
      .With("list_age_ms", load.list_age.count())
      .With("list_wait_ms", TotalOf(m_list_wait, now).count())
      .With("first_start_ms", load.first_start.value_or(Millis(-1)).count())
      .With("unstored_jobs", static_cast<std::uint64_t>(m_cell->writes.count))
      .With("unreported_targets", static_cast<std::uint64_t>(load.unreported))
      .With("unreported_last", load.unreported_last)
      .With("unreported_ms", load.unreported_for.count())
      .With("targets_reserved",
            static_cast<std::uint64_t>(load.targets_reserved))
      .With("suspects_waiting",
            static_cast<std::uint64_t>(load.suspects_waiting))
      .With("longest_crash_hold_ms", load.longest_crash_hold.count());
}

void CellHost::Tick(Time now) {
  m_lease_checked_at = now;
  m_journal.Tick(now);
  if (!Serving() || now < m_tick_at) {
    return;
  }
  m_tick_at = now + kTickInterval;
  NoteListWait(m_list_wait, AwaitsList(now), cell::ListAge(*m_cell, now), now);
  cell::Actions actions;
  const auto waiting = m_journal.WaitingSince();
  if (waiting && now - *waiting > kStoreStallTimeout) {
    cell::SetStoreHealthy(*m_cell, actions, false);
  }
  if (MayOrder()) {
    cell::Tick(*m_cell, actions, now);
    m_cell->plan_due = m_cell->plan_due || !m_cell->ready.empty();
  }
  RunActions(std::move(actions));
  if (now >= m_load_logged + kLoadLogInterval) {
    m_load_logged = now;
    LogLoad();
  }
  std::erase_if(m_reports, [&](const auto& entry) {
    return !m_cell->targets.contains(entry.first) && !entry.second.in_flight;
  });
  SchedulePump();
}

}  // namespace buckthornmux::entry
