// Evacuation of data centres in a cell: which starts, tickets and room are
// withheld, and what goes on.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell_owner.h"
#include "src/cell/internal.h"

namespace buckthornmux::tests {
namespace {

using cell::OrderOutcome;
using cell::SendStart;

constexpr Time kStart{Millis(1'000'000)};

/// Two targets, a0 and a1, in data centre "a", and so on.
std::vector<cell::TargetEntry> Entries(const std::string& data_centres) {
  std::vector<cell::TargetEntry> entries;
  for (const char name : data_centres) {
    for (const char number : {'0', '1'}) {
      const std::string id{name, number};
      entries.push_back(Entry(id, id + ":1"));
      entries.back().data_centre = std::string(1, name);
    }
  }
  return entries;
}

cell::JobSpec JobOf(const std::string& id, const std::string& queue,
                    std::uint32_t tasks, bool gang = false) {
  cell::JobSpec spec = PlainJob(id, tasks, 4000);
  spec.queue = queue;
  spec.steps[0].gang = gang;
  return spec;
}

/// A cell with targets whose orders and logged decisions the test looks at.
/// Each start is checked against the evacuations in force.
struct Fixture {
  explicit Fixture(const std::string& data_centres)
      : entries(Entries(data_centres)) {
    OpenNext();
  }

  /// A new owner takes over from the stored records.
  void OpenNext() {
    owned = std::make_unique<cell::Cell>(Open(++epoch, stored, entries, now));
    owned->options.await_evacuations = true;
    owned->options.avoid_cold = true;
    cell::Rules rules;
    rules.version = epoch + 1;
    rules.queues = {PlainQueue("plain"), PlainQueue("low", 2),
                    PlainQueue("advised")};
    rules.queues[2].advice = cell::AdviceRules{Millis(5), 0.1, Millis(2500)};
    cell::Team team;
    team.name = "team-0";
    team.weight = 1;
    rules.teams = {team};
    cell::Actions actions;
    cell::SetRules(*owned, actions, rules, now);
    const HostId lanes[] = {"host"};
    cell::SetLanes(*owned, lanes);
    Store(*owned, stored, now);
    unanswered.clear();
    requested.reset();
    for (const auto& entry : entries) {
      Report(*owned, entry.id, now, Listing(entry.id));
    }
    Store(*owned, stored, now);
  }

  [[nodiscard]] std::vector<cell::RunningReport> Listing(
      const TargetId& id) const {
    std::vector<cell::RunningReport> listing;
    for (const SendStart& start : begun) {
      if (start.target == id) {
        listing.push_back({start.run, {}, 0, 0});
      }
    }
    return listing;
  }

  void Take(cell::Actions actions) {
    for (cell::Action& action : actions) {
      if (auto* start = std::get_if<SendStart>(&action)) {
        CPPUNIT_ASSERT(requested.has_value());
        CPPUNIT_ASSERT(!IsRequested(start->target));
        starts.push_back(*start);
        unanswered.push_back(*start);
      } else if (auto* stop = std::get_if<cell::SendStop>(&action)) {
        stops.push_back(*stop);
      } else if (auto* ask = std::get_if<cell::AskAdvice>(&action)) {
        asks.push_back(*ask);
      } else if (auto* note = std::get_if<cell::Decision>(&action)) {
        notes.push_back(*note);
      } else if (auto* answer = std::get_if<cell::AnswerSubmit>(&action)) {
        last_error = answer->error;
      }
    }
  }

  void Submit(cell::JobSpec spec) {
    cell::Actions actions;
    cell::Submit(*owned, actions, 1, std::move(spec), now);
    Take(std::move(actions));
    Store(*owned, stored, now);
  }
  /// Whether the data centre of a target is in the latest list.
  [[nodiscard]] bool IsRequested(const TargetId& id) const {
    return requested && std::ranges::count(*requested, id.substr(0, 1)) > 0;
  }
  void Evacuate(std::vector<DataCentre> data_centres) {
    requested = data_centres;
    cell::Actions actions;
    cell::SetEvacuated(*owned, actions, std::move(data_centres), now);
    Take(std::move(actions));
  }
  void Plan() {
    cell::Actions actions;
    cell::Plan(*owned, actions, now);
    Take(std::move(actions));
  }
  void Tick(Millis later) {
    now += later;
    cell::Actions actions;
    cell::Tick(*owned, actions, now);
    Take(std::move(actions));
  }
  void Answer(const SendStart& start, OrderOutcome outcome) {
    std::erase_if(unanswered,
                  [&](const SendStart& open) { return open.run == start.run; });
    if (outcome == OrderOutcome::kDone) {
      begun.push_back(start);
    }
    cell::Actions actions;
    cell::StartAnswered(*owned, actions, start.target, start.run, outcome, now);
    Take(std::move(actions));
  }
  void AnswerAll(OrderOutcome outcome) {
    for (const SendStart& start : std::vector<SendStart>(unanswered)) {
      Answer(start, outcome);
    }
  }
  void AnswerAdvice(const cell::AskAdvice& ask) {
    std::vector<cell::Ticket> tickets;
    for (const TargetId& id : ask.targets) {
      tickets.push_back({id, "ticket"});
    }
    cell::Actions actions;
    cell::OnAdviceAnswered(*owned, actions, ask.ask, true, tickets, now);
    Take(std::move(actions));
  }
  [[nodiscard]] std::string TargetsOf(
      const std::vector<SendStart>& sent) const {
    std::vector<TargetId> ids;
    ids.reserve(sent.size());
    for (const SendStart& start : sent) {
      ids.push_back(start.target);
    }
    std::ranges::sort(ids);
    std::string text;
    for (const TargetId& id : ids) {
      text += id + ' ';
    }
    return text;
  }
  /// Names of the data centres in the notes of an event.
  [[nodiscard]] std::string Noted(const std::string& event,
                                  const std::string& field) const {
    std::string text;
    for (const cell::Decision& note : notes) {
      for (const auto& [name, value] : note.fields) {
        text += note.event == event && name == field ? value + ' ' : "";
      }
    }
    return text;
  }
  [[nodiscard]] const cell::Step& StepOf(const std::string& job) const {
    return owned->jobs.at(job).occurrences.at(0).steps.at(0);
  }

  std::vector<cell::TargetEntry> entries;
  Records stored;
  Epoch epoch = 0;
  Time now = kStart;
  std::unique_ptr<cell::Cell> owned;
  std::vector<SendStart> starts;
  std::vector<SendStart> unanswered;
  std::vector<SendStart> begun;  ///< Runs that targets have.
  std::vector<cell::SendStop> stops;
  std::vector<cell::AskAdvice> asks;
  std::vector<cell::Decision> notes;
  std::optional<Error> last_error;
  /// Latest list that this owner got; empty before the first one.
  std::optional<std::vector<DataCentre>> requested;
};

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(NothingStartsBeforeTheFirstList);
  CPPUNIT_TEST(WithoutTheSettingNothingWaitsForAList);
  CPPUNIT_TEST(EvacuatedTargetsGetNoStart);
  CPPUNIT_TEST(NextOwnerStartsNothingThere);
  CPPUNIT_TEST(UnansweredStartIsNotRepeatedButStopped);
  CPPUNIT_TEST(StartThatRunsIsNotStopped);
  CPPUNIT_TEST(RunsContinueAndLeasesAreRenewed);
  CPPUNIT_TEST(RequestedTwiceBeginsOnce);
  CPPUNIT_TEST(WithdrawnAtOnceTargetsAreUsedAgain);
  CPPUNIT_TEST(UnknownDataCentreIsOnlyLogged);
  CPPUNIT_TEST(AllDataCentresActAsAFullCell);
  CPPUNIT_TEST(TicketsAreDroppedAndNotRequested);
  CPPUNIT_TEST(GangThatNoLongerFitsReservesNothing);
  CPPUNIT_TEST(GangStartsInTheRestOfTheFleet);
  CPPUNIT_TEST(ChangedEntryCounts);
  CPPUNIT_TEST(UrgentWorkPrefersWarmTargets);
  CPPUNIT_TEST(NoStartUnderRandomChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts by a new owner that doesn't know the requests yet.
  void NothingStartsBeforeTheFirstList() {
    Fixture f("ab");
    f.Submit(JobOf("job", "plain", 4));
    f.Submit(JobOf("gang", "plain", 2, true));
    f.Plan();
    CPPUNIT_ASSERT(f.starts.empty());
    f.Evacuate({});
    CPPUNIT_ASSERT(f.owned->plan_due);
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
  }

  // Guards against a deployment without the setting that waits for ever.
  void WithoutTheSettingNothingWaitsForAList() {
    Fixture f("a");
    f.owned->options.await_evacuations = false;
    CPPUNIT_ASSERT(
        cell::MayStartOn(*f.owned, f.owned->targets.at("a0"), f.now));
  }

  // Guards against starts on the targets of an evacuated data centre.
  void EvacuatedTargetsGetNoStart() {
    Fixture f("abc");
    f.Evacuate({"b"});
    f.Submit(JobOf("job", "plain", 6));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("a0 a1 c0 c1 "), f.TargetsOf(f.starts));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         cell::LoadOf(*f.owned, f.now).targets_evacuated);
  }

  // Guards against an evacuation that ends with its owner.
  void NextOwnerStartsNothingThere() {
    Fixture f("ab");
    f.Evacuate({"a"});
    f.Submit(JobOf("job", "plain", 4));
    f.Plan();
    f.AnswerAll(OrderOutcome::kDone);
    f.starts.clear();
    f.OpenNext();
    f.Plan();
    CPPUNIT_ASSERT(f.starts.empty());
    f.Evacuate({"a"});
    f.Plan();
    CPPUNIT_ASSERT(f.starts.empty());
    f.Evacuate({});
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("a0 a1 "), f.TargetsOf(f.starts));
  }

  // Guards against repeating a start that was sent before the evacuation, and
  // against holding its room for ever.
  void UnansweredStartIsNotRepeatedButStopped() {
    Fixture f("a");
    f.Evacuate({});
    f.Submit(JobOf("job", "plain", 2));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    f.Answer(f.starts[0], OrderOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
    f.Evacuate({"a"});
    f.AnswerAll(OrderOutcome::kUnknown);
    f.Tick(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
    CPPUNIT_ASSERT(f.stops.empty());
    for (const auto& entry : f.entries) {
      Report(*f.owned, entry.id, f.now);
    }
    f.Tick(Millis(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
  }

  // Guards against stopping a task that began although its answer was lost.
  void StartThatRunsIsNotStopped() {
    Fixture f("a");
    f.Evacuate({});
    f.Submit(JobOf("job", "plain", 1));
    f.Plan();
    f.Evacuate({"a"});
    f.begun = f.starts;
    f.AnswerAll(OrderOutcome::kUnknown);
    f.Tick(Millis(10));
    const TargetId id = f.starts[0].target;
    Report(*f.owned, id, f.now, f.Listing(id));
    f.Tick(Millis(500));
    CPPUNIT_ASSERT(f.stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.owned->run_count);
  }

  // Guards against stopping what runs, or letting its lease run out.
  void RunsContinueAndLeasesAreRenewed() {
    Fixture f("a");
    f.Evacuate({});
    f.Submit(JobOf("job", "plain", 2));
    f.Plan();
    f.AnswerAll(OrderOutcome::kDone);
    f.Evacuate({"a"});
    f.Tick(Millis(50));
    CPPUNIT_ASSERT(f.stops.empty());
    for (const auto& [id, target] : f.owned->targets) {
      CPPUNIT_ASSERT(cell::MakeReportCall(*f.owned, target, f.now).deadline_ms >
                     0);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("2 "),
                         f.Noted("evacuation_began", "runs"));
  }

  // Guards against a line, and work, for each reading of the same list.
  void RequestedTwiceBeginsOnce() {
    Fixture f("ab");
    f.Evacuate({"a"});
    f.owned->plan_due = false;
    f.Evacuate({"a", "a"});
    CPPUNIT_ASSERT(!f.owned->plan_due);
    CPPUNIT_ASSERT_EQUAL(std::string("a "),
                         f.Noted("evacuation_began", "data_centre"));
    CPPUNIT_ASSERT(f.Noted("evacuation_ended", "data_centre").empty());
  }

  // Guards against a data centre that stays out of use after the withdrawal, or
  // an unanswered start that then waits for ever.
  void WithdrawnAtOnceTargetsAreUsedAgain() {
    Fixture f("a");
    f.Evacuate({});
    f.Submit(JobOf("job", "plain", 2));
    f.Plan();
    f.Evacuate({"a"});
    f.Answer(f.starts[0], OrderOutcome::kUnknown);
    f.Answer(f.starts[1], OrderOutcome::kNotSent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    f.Evacuate({});
    CPPUNIT_ASSERT_EQUAL(std::string("a "),
                         f.Noted("evacuation_ended", "data_centre"));
    f.Tick(Millis(600));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
  }

  // Guards against a wrong name that keeps the rest from work or from being
  // evacuated.
  void UnknownDataCentreIsOnlyLogged() {
    Fixture f("ab");
    f.Evacuate({"a", "nowhere"});
    f.Submit(JobOf("job", "plain", 4));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("b0 b1 "), f.TargetsOf(f.starts));
    CPPUNIT_ASSERT_EQUAL(std::string("2 0 "),
                         f.Noted("evacuation_began", "targets"));
  }

  // Guards against a cell that fails, or that takes all work in, once nothing
  // may start anywhere.
  void AllDataCentresActAsAFullCell() {
    Fixture f("ab");
    f.Evacuate({"a", "b"});
    f.Submit(JobOf("job", "plain", 4));
    CPPUNIT_ASSERT(!f.last_error);
    f.Submit(JobOf("gang", "low", 2, true));
    CPPUNIT_ASSERT(!f.last_error);
    for (int i = 0; i < 10; ++i) {
      f.Plan();
      f.Tick(Millis(1000));
      for (const auto& entry : f.entries) {
        Report(*f.owned, entry.id, f.now);
      }
    }
    CPPUNIT_ASSERT(f.starts.empty());
    CPPUNIT_ASSERT(cell::PhaseOf(*f.owned, "job") == cell::JobPhase::kQueued);
    CPPUNIT_ASSERT(cell::PhaseOf(*f.owned, "gang") == cell::JobPhase::kQueued);
    CPPUNIT_ASSERT(cell::IsBusy(*f.owned));
    for (int i = 0; i < 5; ++i) {
      f.Submit(JobOf("more-" + std::to_string(i), "plain", 1));
    }
    CPPUNIT_ASSERT(f.last_error);
    CPPUNIT_ASSERT(f.last_error->kind == ErrorKind::kTeamLimit);
    f.Evacuate({});
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
  }

  // Guards against tickets of before the evacuation, calls that ask for such
  // targets, and answers that were under way.
  void TicketsAreDroppedAndNotRequested() {
    Fixture f("ab");
    f.Evacuate({});
    f.Submit(JobOf("full", "plain", 4));
    f.Plan();
    f.AnswerAll(OrderOutcome::kDone);
    f.Submit(JobOf("job", "advised", 1, true));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.asks.size());
    const std::size_t named = f.asks[0].targets.size();
    f.AnswerAdvice(f.asks[0]);
    CPPUNIT_ASSERT_EQUAL(named, f.StepOf("job").advice.tickets.size());
    f.Evacuate({"a", "b"});
    CPPUNIT_ASSERT(f.StepOf("job").advice.tickets.empty());
    f.Tick(Millis(100));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.asks.size());

    f.Submit(JobOf("other", "advised", 1, true));
    f.Evacuate({"a"});
    f.Evacuate({});
    f.Plan();
    CPPUNIT_ASSERT(f.asks.size() > 1);
    const cell::AskAdvice late = f.asks.back();
    f.Evacuate({"a", "b"});
    f.AnswerAdvice(late);
    CPPUNIT_ASSERT(f.StepOf(late.step.job).advice.tickets.empty());
    CPPUNIT_ASSERT(!f.StepOf(late.step.job).advice.usable.empty());

    Fixture half("ab");
    half.Evacuate({"a"});
    half.Submit(JobOf("job", "advised", 4));
    half.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, half.asks.size());
    CPPUNIT_ASSERT(half.asks[0].targets == std::vector<TargetId>({"b0", "b1"}));
  }

  // Guards against room that stays reserved for a gang that can't start in the
  // rest of the fleet.
  void GangThatNoLongerFitsReservesNothing() {
    Fixture f("ab");
    BlockOne(f);
    f.Submit(JobOf("gang", "plain", 4, true));
    f.Submit(JobOf("low", "low", 1));
    f.Plan();
    CPPUNIT_ASSERT(f.starts.empty());
    f.Evacuate({"a"});
    f.Tick(Millis(50));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("low"), f.starts[0].run.task.job);
  }

  // Guards against a gang that fits into the rest of the fleet and waits for
  // evacuated targets.
  void GangStartsInTheRestOfTheFleet() {
    Fixture f("abc");
    BlockOne(f);
    f.Submit(JobOf("gang", "plain", 4, true));
    f.Evacuate({"a"});
    f.Submit(JobOf("low", "low", 1));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("gang gang gang gang "), JobsOf(f.starts));
    CPPUNIT_ASSERT_EQUAL(std::string("b0 b1 c0 c1 "), f.TargetsOf(f.starts));
  }

  // Guards against a target that is judged by the data centre that it was in.
  void ChangedEntryCounts() {
    Fixture f("a");
    f.Evacuate({"b"});
    for (auto& entry : f.entries) {
      entry.data_centre = "b";
    }
    cell::Actions actions;
    cell::SetTargets(*f.owned, actions, f.entries, f.now, f.now);
    f.Submit(JobOf("job", "plain", 2));
    f.Plan();
    CPPUNIT_ASSERT(f.starts.empty());
  }

  // Guards against urgent work on cold targets while warm ones have room, and
  // against cold targets that stay empty.
  void UrgentWorkPrefersWarmTargets() {
    Fixture f("ab");
    for (auto& entry : f.entries) {
      entry.cold = Millis(entry.data_centre == "a" ? 9000 : 0);
    }
    cell::Actions actions;
    cell::SetTargets(*f.owned, actions, f.entries, f.now, f.now);
    f.Evacuate({});
    f.Submit(JobOf("first", "plain", 2));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("b0 b1 "), f.TargetsOf(f.starts));
    f.Submit(JobOf("second", "plain", 2));
    f.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("a0 a1 b0 b1 "), f.TargetsOf(f.starts));
    Fixture gangs("ab");
    gangs.entries = f.entries;
    cell::SetTargets(*gangs.owned, actions, f.entries, gangs.now, gangs.now);
    gangs.Evacuate({});
    gangs.Submit(JobOf("gang", "plain", 2, true));
    gangs.Plan();
    CPPUNIT_ASSERT_EQUAL(std::string("b0 b1 "), gangs.TargetsOf(gangs.starts));
  }

  // Guards against any path on which a start, a first or a repeated one, gets
  // out to an evacuated target or before the list is known: Fixture::Take
  // checks each.
  void NoStartUnderRandomChanges() {
    std::size_t starts = 0;
    std::size_t held = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
      Play(seed, starts, held);
    }
    // The play reaches what it is meant to check.
    CPPUNIT_ASSERT(starts > 2000);
    CPPUNIT_ASSERT(held > 200);
  }

 private:
  /// Has a run on a0 that was sent before, and no starts counted.
  static void BlockOne(Fixture& f) {
    f.Evacuate(f.entries.size() > 4 ? std::vector<DataCentre>{"b", "c"}
                                    : std::vector<DataCentre>{"b"});
    f.Submit(JobOf("blocker", "plain", 1));
    f.Plan();
    f.AnswerAll(OrderOutcome::kDone);
    f.Evacuate({});
    f.starts.clear();
  }

  static std::string JobsOf(const std::vector<SendStart>& starts) {
    std::string text;
    for (const SendStart& start : starts) {
      text += start.run.task.job + ' ';
    }
    return text;
  }

  static void Play(std::uint32_t seed, std::size_t& starts, std::size_t& held) {
    std::mt19937 random(seed);
    const auto draw = [&](std::uint32_t below) {
      return static_cast<std::uint32_t>(random() % below);
    };
    Fixture f("abc");
    int jobs = 0;
    for (int i = 0; i < 150; ++i) {
      f.Tick(Millis(draw(120)));
      switch (draw(8)) {
        case 0:
          f.Submit(JobOf("job-" + std::to_string(jobs++),
                         draw(2) == 0 ? "plain" : "low", 1 + draw(3),
                         draw(3) == 0));
          break;
        case 1: {
          std::vector<DataCentre> names;
          for (const char* name : {"a", "b", "c"}) {
            if (draw(3) == 0) {
              names.emplace_back(name);
            }
          }
          f.Evacuate(names);
          break;
        }
        case 2:
          if (!f.unanswered.empty()) {
            const SendStart start = f.unanswered[draw(
                static_cast<std::uint32_t>(f.unanswered.size()))];
            constexpr OrderOutcome kOutcomes[] = {
                OrderOutcome::kDone, OrderOutcome::kUnknown,
                OrderOutcome::kUnknown, OrderOutcome::kNotSent};
            const OrderOutcome outcome = kOutcomes[draw(4)];
            held +=
                outcome == OrderOutcome::kUnknown && f.IsRequested(start.target)
                    ? 1U
                    : 0U;
            f.Answer(start, outcome);
          }
          break;
        case 3:
          EndSome(f, draw(3) + 1);
          break;
        case 4:
          if (draw(8) == 0) {
            f.OpenNext();
          }
          break;
        default:
          f.Plan();
      }
    }
    starts += f.starts.size();
  }

  /// All targets report; up to `most` runs have ended.
  static void EndSome(Fixture& f, std::size_t most) {
    for (const auto& entry : f.entries) {
      std::vector<cell::EndReport> ended;
      const auto end = [&](const cell::RunId& run, cell::RunEnd how) {
        const std::uint64_t seen = f.owned->targets.at(entry.id).seen_end;
        ended.push_back({seen + 1 + ended.size(), run, how, {}});
      };
      for (const cell::SendStop& stop : f.stops) {
        if (stop.target == entry.id) {
          end(stop.run, cell::RunEnd::kStopped);
        }
      }
      for (const SendStart& start : f.begun) {
        if (start.target == entry.id && ended.size() < most) {
          end(start.run, cell::RunEnd::kDone);
        }
      }
      std::erase_if(f.begun, [&](const SendStart& start) {
        return std::ranges::any_of(
            ended, [&](const auto& each) { return each.run == start.run; });
      });
      Report(*f.owned, entry.id, f.now, f.Listing(entry.id), std::move(ended));
    }
    f.stops.clear();
    Store(*f.owned, f.stored, f.now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace buckthornmux::tests
