/// Simulation of callers, entry hosts and owners of a cell on a virtual clock,
/// with links that hold messages back and a store that goes away. Calls pass
/// through the same code as in the server, without network.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "buckthornmux/detail/entry/call_guard.h"
#include "buckthornmux/detail/entry/job_doubts.h"
#include "buckthornmux/detail/entry/open_call.h"
#include "buckthornmux/detail/entry/owner_calls.h"
#include "buckthornmux/detail/entry/pending_replies.h"
#include "cell_owner.h"

namespace buckthornmux::tests {

/// How a caller's try ended.
enum class TryEnd : std::uint8_t {
  kOpen,
  kDone,     ///< Accepted, cancelled, or there was nothing to cancel.
  kRefused,  ///< The response says that it had no effect.
  kUnknown,  ///< The response says that it may have had one.
  kLeft,     ///< The caller left before a response.
};

struct CallerTry {
  entry::CallKind kind = entry::CallKind::kSubmit;
  Time deadline;
  TryEnd end = TryEnd::kOpen;
  Time ended;
  bool refused_by_owner = false;
};

/// A job as its caller sees it.
struct CallerJob {
  std::string id;
  std::vector<CallerTry> tries;
  Time give_up;
};

struct CallWorldOptions {
  std::uint64_t seed = 1;
  int hosts = 3;
  Millis played{20'000};  ///< Callers and faults come until then.
  int leave_one_in = 8;   ///< Share of tries whose caller leaves early.
};

/// What a play has shown.
struct CallWorldResult {
  std::vector<std::string> faults;
  int jobs = 0;
  int done = 0;     ///< Jobs whose submit was answered with success.
  int refused = 0;  ///< Jobs whose submits were refused in all answers.
  int unknown = 0;  ///< Responses that leave the outcome open.
  int stale = 0;    ///< Copies that an owner dropped.
  /// Jobs that exist although the last response to their submit was no.
  int refused_last = 0;
  Epoch epochs = 0;
};

/// @brief One random play. Each host has a clock of its own; links deliver in
///   order, but one connection may deliver after the next one of the same pair.
class CallWorld {
 public:
  explicit CallWorld(const CallWorldOptions& options)
      : m_options(options),
        m_draw(options.seed),
        m_hosts(static_cast<std::size_t>(options.hosts)) {
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
      m_hosts[i].id = "h" + std::to_string(i);
      m_hosts[i].clock_ahead = Between(0, kHour);
      m_hosts[i].stored_at = kStart;
    }
  }

  CallWorldResult Play() {
    Claim(0);
    for (Time t = kStart; t < End(); t += Between(20, 60)) {
      At(t, [this] { NewJob(); });
    }
    for (Time t = kStart + kCalm; t < End(); t += Between(1000, 5000)) {
      At(t, [this] { Fault(); });
    }
    constexpr Millis kSettled{15'000};
    while (m_now < End() + kSettled) {
      m_now += kStep;
      while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
      }
      for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        TickHost(i);
      }
      TakeOver();
    }
    Judge();
    m_result.epochs = m_epoch;
    return m_result;
  }

 private:
  static constexpr Time kStart{Millis(100'000)};
  static constexpr int kHour = 3'600'000;
  static constexpr Millis kStep{10};
  static constexpr Millis kCalm{500};
  static constexpr Millis kTick{50};
  static constexpr Millis kLinkSilence{900};
  static constexpr Millis kLease{2500};
  static constexpr Millis kSuspectAfter{450};
  static constexpr Millis kStoreStall{500};
  static constexpr Millis kCallerTime{3000};
  static constexpr Millis kMargin{150};

  /// A request at the host that the caller has reached.
  struct Request {
    entry::OpenCall open;
    std::size_t job = 0;
    std::size_t number = 0;  ///< Index of the caller's try.
  };

  /// An outgoing connection.
  struct Link {
    bool up = true;
    Time last;                      ///< Delivery of the last message.
    std::vector<std::size_t> held;  ///< Messages behind a cut, in order.
  };

  struct Host {
    HostId id;
    Millis clock_ahead{0};
    Time cut_until;  ///< Cut off from the other hosts.
    Time cut_since;
    Time store_cut_until;  ///< Cut off from the store.
    Time stored_at;        ///< When the store last answered.
    std::map<std::uint64_t, Request> requests;
    std::uint64_t next_call = 1;
    std::string owner;  ///< Owner in this host's view; empty if none.
    Epoch owner_epoch = 0;
    Time view_at;
    std::optional<cell::Cell> cell;
    bool loaded = false;
    entry::OwnerCalls calls;
    entry::JobDoubts doubts;
    std::optional<cell::Batch> batch;  ///< Write without an answer.
    bool applied = false;
    Time batch_since;
    Time answer_at;
    std::map<std::size_t, Link> links;
    entry::PendingReplies pending;
  };

  /// Message between hosts.
  using Message =
      std::variant<entry::CellCall, entry::CellReply, entry::JobInDoubt>;

  // ---- Helpers --------------------------------------------------------------

  Time End() const { return kStart + m_options.played; }
  Millis Between(int least, int most) {
    return Millis(std::uniform_int_distribution<int>(least, most)(m_draw));
  }
  bool OneIn(int many) { return Between(1, many) == Millis(1); }
  std::size_t AnyHost() {
    const int last = static_cast<int>(m_hosts.size()) - 1;
    return static_cast<std::size_t>(Between(0, last).count());
  }
  void At(Time when, std::function<void()> action) {
    m_events.emplace(when, std::move(action));
  }
  Time ClockOf(const Host& host) const { return m_now + host.clock_ahead; }
  bool StoreServes(const Host& host) const {
    return m_now >= m_store_away_until && m_now >= host.store_cut_until;
  }
  bool Cut(const Host& host) const { return m_now < host.cut_until; }
  bool LeaseHeld(const Host& host) const {
    return m_now - host.stored_at <= kLease;
  }
  static const cell::Job* Find(const cell::Cell& cell, const std::string& id) {
    const auto found = cell.jobs.find(id);
    return found == cell.jobs.end() ? nullptr : &found->second;
  }
  static std::size_t IndexOf(const HostId& id) {
    return static_cast<std::size_t>(std::stoi(id.substr(1)));
  }
  void Blame(const CallerJob& job, const std::string& what) {
    m_result.faults.push_back("seed " + std::to_string(m_options.seed) + ", " +
                              std::to_string((m_now - kStart).count()) +
                              " ms: " + job.id + ' ' + what);
  }

  // ---- Faults ---------------------------------------------------------------

  void Fault() {
    const bool owner = !OneIn(3) && m_owner < m_hosts.size();
    const std::size_t host = owner ? m_owner : AnyHost();
    const int kind = static_cast<int>(Between(1, 6).count());
    if (kind <= 3) {
      CutOff(host, Between(200, 10'000), kind == 1);
    }
    if (kind >= 3 && kind <= 5) {
      // The store goes away during the cut and is back at about its end.
      At(m_now + Between(0, 1500), [this, lasts = Between(200, 6000)] {
        m_store_away_until = std::max(m_store_away_until, m_now + lasts);
      });
    }
    if (kind == 6) {
      m_hand_over = true;
    }
  }

  void CutOff(std::size_t index, Millis lasts, bool from_store) {
    Host& host = m_hosts[index];
    if (Cut(host)) {
      return;
    }
    host.cut_since = m_now;
    host.cut_until = m_now + lasts;
    if (from_store) {
      host.store_cut_until = host.cut_until;
    }
    const bool noticed = lasts > kLinkSilence;
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
      if (other == index) {
        continue;
      }
      CutLink(index, other, host.cut_until, noticed);
      CutLink(other, index, host.cut_until, noticed);
    }
  }

  void CutLink(std::size_t from, std::size_t to, Time until, bool noticed) {
    if (noticed) {
      At(m_now + kLinkSilence, [this, from, to] { Lose(from, to); });
      At(until + Between(10, 600), [this, from, to] { Reconnect(from, to); });
    }
    // The kernel sends what it holds again when its timer expires.
    At(until + Between(0, 4000), [this, from, to] { Deliver(from, to); });
  }

  void Lose(std::size_t from, std::size_t to) {
    m_hosts[from].links[to].up = false;
    for (auto& [number, request] : m_hosts[from].requests) {
      if (request.open.sent_to == m_hosts[to].id) {
        entry::NoteHostLost(request.open, m_hosts[to].id, m_now);
        TellDoubt(from, request.open);
      }
    }
  }

  /// Tells all hosts that a submit may have been accepted.
  void TellDoubt(std::size_t at, const entry::OpenCall& open) {
    const auto doubt = entry::NewDoubt(m_hosts[at].doubts, open, m_now);
    for (std::size_t to = 0; doubt && to < m_hosts.size(); ++to) {
      if (to != at) {
        (void)Send(at, to, *doubt);
      }
    }
  }

  void Reconnect(std::size_t from, std::size_t to) {
    if (!Cut(m_hosts[from]) && !Cut(m_hosts[to])) {
      m_hosts[from].links[to].up = true;
      m_hosts[from].links[to].last = m_now;
      for (const auto& late :
           entry::TakeReplies(m_hosts[from].pending, m_hosts[to].id, m_now)) {
        (void)Send(from, to, late.reply);
      }
    }
  }

  // ---- Links ----------------------------------------------------------------

  bool Send(std::size_t from, std::size_t to, Message message) {
    Link& link = m_hosts[from].links[to];
    if (!link.up) {
      return false;
    }
    const std::size_t id = m_messages.size();
    m_messages.push_back({from, to, std::move(message)});
    if (Cut(m_hosts[from]) || Cut(m_hosts[to])) {
      link.held.push_back(id);
      return true;
    }
    link.last = std::max(link.last, m_now + Between(1, 5));
    At(link.last, [this, id] { Receive(id); });
    return true;
  }

  /// Delivers what a former connection has held back.
  void Deliver(std::size_t from, std::size_t to) {
    Link& link = m_hosts[from].links[to];
    if (Cut(m_hosts[from]) || Cut(m_hosts[to])) {
      At(m_now + Between(100, 2000), [this, from, to] { Deliver(from, to); });
      return;
    }
    for (const std::size_t id : std::exchange(link.held, {})) {
      Receive(id);
    }
  }

  void Receive(std::size_t id) {
    const auto [from, to, message] = m_messages[id];
    if (const auto* call = std::get_if<entry::CellCall>(&message)) {
      HandleCall(to, m_hosts[from].id, *call);
    } else if (const auto* doubt = std::get_if<entry::JobInDoubt>(&message)) {
      entry::NoteDoubt(m_hosts[to].doubts, doubt->job, doubt->epoch, m_now);
    } else {
      HandleReply(to, std::get<entry::CellReply>(message));
    }
  }

  void Reply(std::size_t from, const HostId& to,
             const entry::CellReply& reply) {
    const std::size_t index = IndexOf(to);
    if (index == from) {
      HandleReply(from, reply);
    } else if (!Send(from, index, reply)) {
      CPPUNIT_ASSERT(entry::KeepReply(m_hosts[from].pending, to, reply, m_now));
    }
  }

  // ---- Callers --------------------------------------------------------------

  void NewJob() {
    CallerJob job;
    job.id = "j" + std::to_string(m_jobs.size());
    job.give_up = m_now + kCallerTime;
    m_jobs.push_back(std::move(job));
    ++m_result.jobs;
    Try(m_jobs.size() - 1, entry::CallKind::kSubmit);
  }

  void Try(std::size_t index, entry::CallKind kind) {
    constexpr Millis kLeast{20};
    CallerJob& job = m_jobs[index];
    const Millis left = job.give_up - m_now;
    if (left < kLeast) {
      return;
    }
    const std::size_t number = job.tries.size();
    job.tries.push_back({kind, job.give_up, TryEnd::kOpen, {}, false});
    if (OneIn(m_options.leave_one_in)) {
      At(m_now + Between(20, 800), [this, index, number] {
        if (m_jobs[index].tries[number].end == TryEnd::kOpen) {
          Finish(index, number, TryEnd::kLeft);
        }
      });
    }
    const std::size_t at = AnyHost();
    Host& host = m_hosts[at];
    entry::CellCall call;
    call.call = host.next_call++;
    call.kind = kind;
    call.queue = "plain";
    call.team = "team-0";
    call.job = job.id;
    if (kind == entry::CallKind::kSubmit) {
      call.spec = PlainJob(job.id);
    }
    const Millis patience =
        std::min(entry::kMaxCallTimeout, left - std::min(kMargin, left / 4));
    m_tries[{host.id, call.call}] = {index, number};
    const std::uint64_t id = call.call;
    host.requests.emplace(
        id, Request{entry::BeginCall(std::move(call), patience, true, m_now),
                    index, number});
    Forward(at, id);
  }

  void Finish(std::size_t index, std::size_t number, TryEnd end) {
    CallerTry& attempt = m_jobs[index].tries[number];
    if (attempt.end != TryEnd::kOpen) {
      return;  // The caller has left.
    }
    attempt.end = end;
    attempt.ended = m_now;
    m_result.unknown += end == TryEnd::kUnknown ? 1 : 0;
    const auto kind = attempt.kind;
    if (m_now > attempt.deadline + kTick + kStep) {
      Blame(m_jobs[index], "is answered after its deadline");
    }
    if (end != TryEnd::kDone) {
      const Millis pause =
          end == TryEnd::kRefused ? Between(100, 600) : Millis(0);
      At(m_now + pause, [this, index, kind] { Try(index, kind); });
    } else if (kind == entry::CallKind::kSubmit && OneIn(3)) {
      At(m_now + Between(0, 3000), [this, index] {
        m_jobs[index].give_up = m_now + kCallerTime;
        Try(index, entry::CallKind::kCancel);
      });
    }
  }

  // ---- Hosts as senders -----------------------------------------------------

  void Forward(std::size_t at, std::uint64_t number) {
    Host& host = m_hosts[at];
    entry::OpenCall& open = host.requests.at(number).open;
    entry::BeginAttempt(open, m_now);
    HostId to = host.cell ? host.id : host.owner;
    auto result = entry::ForwardResult::kNoOwner;
    if (host.cell) {
      open.call.epoch = host.cell->epoch;
      open.call.sent_at = ClockOf(host).time_since_epoch();
      result = entry::ForwardResult::kSent;
      HandleCall(at, host.id, open.call);
    } else if (!to.empty() && to != host.id) {
      const std::size_t owner = IndexOf(to);
      open.call.epoch = host.owner_epoch;
      open.call.sent_at =
          (ClockOf(m_hosts[owner]) - Between(1, OneIn(20) ? 900 : 10))
              .time_since_epoch();
      result = Send(at, owner, open.call) ? entry::ForwardResult::kSent
                                          : entry::ForwardResult::kUnreachable;
    }
    const auto found = host.requests.find(number);
    if (found != host.requests.end()) {
      entry::EndAttempt(found->second.open, result, to, m_now);
    }
  }

  void HandleReply(std::size_t at, const entry::CellReply& reply) {
    Host& host = m_hosts[at];
    const auto found = host.requests.find(reply.call);
    if (found == host.requests.end()) {
      return;
    }
    const auto use = entry::ApplyReply(found->second.open, reply, true, m_now);
    if (use != entry::ReplyUse::kIgnored) {
      entry::ApplyToDoubt(host.doubts, found->second.open, reply, m_now);
    }
    if (use != entry::ReplyUse::kEnds) {
      return;
    }
    const Request request = std::move(found->second);
    host.requests.erase(found);
    if (reply.end == entry::CallResult::kRefused ||
        reply.end == entry::CallResult::kUnknown) {
      Fail(at, request, entry::FailureOf(request.open, reply), true);
    } else {
      Finish(request.job, request.number, TryEnd::kDone);
    }
  }

  void Fail(std::size_t at, const Request& request, entry::CallFailure failure,
            bool by_owner) {
    if (failure.unknown) {
      TellDoubt(at, request.open);
    }
    failure = entry::TruthfulFailure(m_hosts[at].doubts, request.open,
                                     std::move(failure), m_now);
    m_jobs[request.job].tries[request.number].refused_by_owner = by_owner;
    Finish(request.job, request.number,
           failure.unknown ? TryEnd::kUnknown : TryEnd::kRefused);
  }

  void TickSender(std::size_t at) {
    Host& host = m_hosts[at];
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, request] : host.requests) {
      if (entry::NextStep(request.open, m_now) != entry::CallStep::kWait) {
        numbers.push_back(number);
      }
    }
    for (const std::uint64_t number : numbers) {
      const auto found = host.requests.find(number);
      if (found == host.requests.end()) {
        continue;
      }
      if (entry::NextStep(found->second.open, m_now) ==
          entry::CallStep::kForward) {
        Forward(at, number);
        continue;
      }
      const Request request = std::move(found->second);
      host.requests.erase(found);
      Fail(at, request, entry::OverdueFailure(request.open), false);
    }
  }

  // ---- Hosts as owners ------------------------------------------------------

  void HandleCall(std::size_t at, const HostId& from,
                  const entry::CellCall& call) {
    Host& host = m_hosts[at];
    if (!host.cell || !host.loaded || !LeaseHeld(host)) {
      const auto refusal = entry::RefuseCall(
          host.calls, host.loaded ? &*host.cell : nullptr, call,
          host.cell ? ErrorKind::kNotReady : ErrorKind::kOwnerUnknown,
          "not serving", ClockOf(host));
      if (host.loaded && call.kind == entry::CallKind::kSubmit &&
          refusal.end == entry::CallResult::kRefused &&
          Find(*host.cell, call.job) != nullptr) {
        Blame(m_jobs[m_tries.at({from, call.call}).first],
              "is denied by the owner that has it");
      }
      Reply(at, from, refusal);
      return;
    }
    const cell::Job* before = Find(*host.cell, call.job);
    const bool existed = before != nullptr;
    const bool ended = existed && before->Ended();
    cell::Actions actions;
    const auto reply = entry::ApplyCall(host.calls, *host.cell, actions, from,
                                        call, ClockOf(host));
    const cell::Job* after = Find(*host.cell, call.job);
    const bool effect = call.kind == entry::CallKind::kSubmit
                            ? !existed && after != nullptr
                            : existed && !ended && after->Ended();
    if (effect) {
      CheckEffect(from, call, host);
    }
    if (reply) {
      m_result.stale += reply->error == ErrorKind::kOwnerStale ? 1 : 0;
      Reply(at, from, *reply);
    }
    Run(at, actions);
  }

  /// A call must not have an effect after its caller was told that this or a
  /// later try had none. A host without a reply of the owner can't know of
  /// tries whose caller left early.
  void CheckEffect(const HostId& from, const entry::CellCall& call,
                   const Host& host) {
    if (host.cell->epoch != m_epoch) {
      return;  // The store rejects its writes.
    }
    const auto [index, number] = m_tries.at({from, call.call});
    const CallerJob& job = m_jobs[index];
    const CallerTry& own = job.tries[number];
    for (std::size_t i = number; i < job.tries.size(); ++i) {
      const CallerTry& later = job.tries[i];
      if (later.kind == own.kind && later.end == TryEnd::kRefused &&
          (own.end != TryEnd::kLeft || later.refused_by_owner)) {
        Blame(job, "has an effect after it was refused");
        return;
      }
    }
  }

  void Run(std::size_t at, const cell::Actions& actions) {
    Host& host = m_hosts[at];
    for (const cell::Action& action : actions) {
      std::optional<entry::AddressedReply> reply;
      if (const auto* submit = std::get_if<cell::AnswerSubmit>(&action)) {
        reply = entry::TakeReply(host.calls, *submit, ClockOf(host));
      } else if (const auto* cancel =
                     std::get_if<cell::AnswerCancel>(&action)) {
        reply = entry::TakeReply(host.calls, *cancel, ClockOf(host));
      }
      if (reply) {
        Reply(at, reply->to, reply->reply);
      }
    }
  }

  void Close(std::size_t at) {
    Host& host = m_hosts[at];
    host.cell.reset();
    host.loaded = false;
    host.batch.reset();
    for (const auto& late : entry::CloseCalls(host.calls)) {
      Reply(at, late.to, late.reply);
    }
  }

  void Claim(std::size_t at) {
    if (m_hosts[at].cell) {
      Close(at);
    }
    m_owner = at;
    ++m_epoch;
    m_hosts[at].cell.emplace();
    m_hosts[at].cell->epoch = m_epoch;
    m_hosts[at].owner = m_hosts[at].id;
    m_hosts[at].owner_epoch = m_epoch;
    At(m_now + Between(10, 100), [this, at, epoch = m_epoch] {
      Host& host = m_hosts[at];
      if (host.cell && host.cell->epoch == epoch && m_epoch == epoch) {
        host.cell = Open(epoch, m_stored, {}, ClockOf(host));
        host.loaded = true;
      }
    });
  }

  /// Another host claims the cell of an owner that is cut off or whose
  /// registration has expired; the same host may claim it again.
  void TakeOver() {
    const Host& owner = m_hosts[m_owner];
    const bool suspected =
        Cut(owner) && m_now - owner.cut_since > kSuspectAfter;
    const bool lapsed = m_now - owner.stored_at > kLease + kCalm;
    if (!suspected && !lapsed && !m_hand_over) {
      return;
    }
    const std::size_t next = AnyHost();
    const Host& host = m_hosts[next];
    if (!StoreServes(host) || (suspected && next == m_owner)) {
      return;
    }
    m_hand_over = false;
    Claim(next);
  }

  /// Writes to the store; an answer may be lost and noticed later.
  void Write(std::size_t at) {
    constexpr std::size_t kMaxWrites = 29;
    Host& host = m_hosts[at];
    cell::Actions actions;
    if (!host.batch) {
      host.batch = cell::TakeBatch(*host.cell, kMaxWrites, ClockOf(host));
      host.applied = false;
      host.batch_since = m_now;
      return;
    }
    if (m_now - host.batch_since > kStoreStall) {
      cell::SetStoreHealthy(*host.cell, actions, false);
    }
    if (!host.applied && StoreServes(host)) {
      if (host.cell->epoch != m_epoch) {
        Close(at);
        return;
      }
      for (const auto& write : host.batch->writes) {
        if (write.erase) {
          m_stored.erase(write.key);
        } else {
          m_stored[write.key] = write;
        }
      }
      host.applied = true;
      host.answer_at = m_now + (OneIn(10) ? Between(80, 2000) : Between(4, 8));
    }
    if (host.applied && m_now >= host.answer_at && StoreServes(host)) {
      const cell::Batch batch = *std::exchange(host.batch, std::nullopt);
      cell::SetStoreHealthy(*host.cell, actions, true);
      cell::OnBatchStored(*host.cell, actions, batch, ClockOf(host));
    }
    Run(at, actions);
  }

  void TickHost(std::size_t at) {
    Host& host = m_hosts[at];
    if (StoreServes(host)) {
      host.stored_at = m_now;
    }
    if (StoreServes(host) && m_now >= host.view_at) {
      host.view_at = m_now + Between(10, 200);
      const Host& owner = m_hosts[m_owner];
      const bool registered = m_now - owner.stored_at <= kLease + kCalm;
      host.owner = registered ? owner.id : HostId();
      host.owner_epoch = m_epoch;
      if (host.cell && host.cell->epoch != m_epoch) {
        Close(at);
      }
    }
    if (host.cell && host.loaded) {
      cell::Actions actions;
      cell::Tick(*host.cell, actions, ClockOf(host));
      Run(at, actions);
      if (LeaseHeld(host)) {
        Write(at);
      }
    }
    if ((m_now - kStart) % kTick == Millis(0)) {
      TickSender(at);
    }
  }

  // ---- Judgement ------------------------------------------------------------

  void Judge() {
    const cell::Cell last = Open(m_epoch + 1, m_stored, {}, m_now);
    for (const CallerJob& job : m_jobs) {
      const cell::Job* found = Find(last, job.id);
      JudgeKind(job, entry::CallKind::kSubmit, found != nullptr);
      JudgeKind(job, entry::CallKind::kCancel,
                found != nullptr && found->Ended());
    }
  }

  void JudgeKind(const CallerJob& job, entry::CallKind kind, bool effect) {
    const bool submit = kind == entry::CallKind::kSubmit;
    bool any = false;
    bool done = false;
    bool all_refused = true;
    bool last_refused = false;
    for (const CallerTry& attempt : job.tries) {
      if (attempt.kind != kind) {
        continue;
      }
      any = true;
      done = done || attempt.end == TryEnd::kDone;
      all_refused = all_refused && attempt.end == TryEnd::kRefused;
      last_refused = attempt.end == TryEnd::kRefused;
      if (attempt.end == TryEnd::kOpen) {
        Blame(job, "has no answer");
      }
    }
    if (!any) {
      return;
    }
    if (all_refused && effect) {
      Blame(job, submit ? "runs, though all its submits were refused"
                        : "is cancelled, though all its cancels were refused");
    }
    if (submit) {
      m_result.done += done ? 1 : 0;
      m_result.refused += all_refused ? 1 : 0;
      m_result.refused_last += last_refused && !done && effect ? 1 : 0;
      if (done && !effect) {
        Blame(job, "was accepted and is lost");
      }
    }
  }

  struct Sent {
    std::size_t from = 0;
    std::size_t to = 0;
    Message message;
  };

  CallWorldOptions m_options;
  std::mt19937_64 m_draw;
  std::vector<Host> m_hosts;
  std::vector<CallerJob> m_jobs;
  std::map<std::pair<HostId, std::uint64_t>,
           std::pair<std::size_t, std::size_t>>
      m_tries;
  std::vector<Sent> m_messages;
  std::multimap<Time, std::function<void()>> m_events;
  Time m_now = kStart;
  Time m_store_away_until;
  bool m_hand_over = false;
  std::size_t m_owner = 0;
  Epoch m_epoch = 0;
  Records m_stored;
  CallWorldResult m_result;
};

}  // namespace buckthornmux::tests
