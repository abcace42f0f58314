// Measures the home and its journal: time of a step, bytes of a job, time to
// fold and to rebuild. docs/decisions/0201-home-and-journal.md names its lines.
#include <chrono>
#include <iostream>

#include "buckthornmux/detail/home/journal.h"
#include "home_driver.h"
#include "mock_store.h"

namespace buckthornmux::home {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kJobs = 10'000;

double MicrosSince(Clock::time_point began) {
  return std::chrono::duration<double, std::micro>(Clock::now() - began)
      .count();
}

void Print(std::string_view name, double value, std::string_view unit) {
  std::cout << name << "=" << value << " " << unit << "\n";
}

std::string IdOf(int number) { return "job-" + std::to_string(number); }

void MeasureUrgent() {
  HomeDriver home;
  home.StartSettled();
  const auto began = Clock::now();
  for (int number = 0; number < kJobs; ++number) {
    const auto which = static_cast<std::size_t>(number);
    home.Do(
        Submit{which + 1, MakeRequest(IdOf(number), WorkClass::kUrgent, true)});
    home.ReportStarted(which);
    home.ReportEnded(which, TaskEnd::kDone, ErrorKind::kInternal, "ok");
  }
  Print("urgent_job", MicrosSince(began) / kJobs, "us for three steps");
}

void MeasureCancelWave() {
  HomeDriver home;
  home.StartSettled();
  for (int number = 0; number < kJobs; ++number) {
    home.Do(Submit{0, MakeRequest(IdOf(number), WorkClass::kPatient, true)});
  }
  home.Journal();
  const auto began = Clock::now();
  for (int number = 0; number < kJobs; ++number) {
    home.Do(CancelJob{0, "red", IdOf(number)});
  }
  Print("cancel", MicrosSince(began) / kJobs, "us each in a wave of 10000");
}

/// Patient jobs to their ends; returns all their records.
std::vector<JournalRecord> PatientRecords(bool finished) {
  HomeDriver home;
  home.StartSettled();
  for (int number = 0; number < kJobs; ++number) {
    home.Do(Submit{0, MakeRequest(IdOf(number), WorkClass::kPatient, true)});
  }
  home.Journal();
  for (std::size_t which = 0; finished && which < kJobs; ++which) {
    home.ReportEnded(which, TaskEnd::kDone, ErrorKind::kInternal, "ok");
  }
  return home.Records();
}

void MeasureBytes(const std::vector<JournalRecord>& records) {
  std::size_t bytes = 0;
  std::size_t payload = 0;
  const auto began = Clock::now();
  for (const JournalRecord& record : records) {
    bytes += EncodeRecord(record).size();
    payload += record.request.payload.size();
  }
  Print("encode", MicrosSince(began) / static_cast<double>(records.size()),
        "us a record");
  Print("records_of_a_job", static_cast<double>(records.size()) / double{kJobs},
        "");
  Print("bytes_of_a_job", static_cast<double>(bytes) / double{kJobs},
        "bytes, of them payload " + std::to_string(payload / kJobs));
}

void MeasureFold(std::string_view name,
                 const std::vector<JournalRecord>& records, WallMillis now) {
  const auto began = Clock::now();
  const auto folded = Fold(records, now);
  Print(name, MicrosSince(began) / 1000,
        "ms for 10000 jobs, records left " + std::to_string(folded.size()));
}

void MeasureChain(const std::vector<JournalRecord>& records) {
  store::MockStore mock;
  const store::Store handle = mock.Handle();
  const auto taken = Capture([&] { return ClaimChain(handle, 0, 1, 0); });
  Chain chain = std::get<ClaimedChain>(taken).chain;
  auto began = Clock::now();
  const auto appended =
      Capture([&] { return AppendRecords(handle, chain, records); });
  Print("append", MicrosSince(began) / 1000,
        "ms for all, segments " + std::to_string(mock.entries.size() - 1) +
            ", records " + std::to_string(std::get<std::size_t>(appended)));
  began = Clock::now();
  const auto again = Capture([&] { return ClaimChain(handle, 0, 2, 0); });
  Print("take", MicrosSince(began) / 1000, "ms to list, parse and fold");
  HomeDriver home;
  home.Shards();
  began = Clock::now();
  home.Do(PartitionGained{{0, 2}, std::get<ClaimedChain>(again).records});
  Print("rebuild", MicrosSince(began) / 1000, "ms for 10000 open jobs");
  Chain latter = std::get<ClaimedChain>(again).chain;
  began = Clock::now();
  const auto compacted = Capture([&] { return Compact(handle, latter, 0); });
  Print("compact", MicrosSince(began) / 1000,
        "ms, segments retired " +
            std::to_string(std::get<std::size_t>(compacted)));
}

void Measure() {
  MeasureUrgent();
  MeasureCancelWave();
  const auto open = PatientRecords(false);
  const auto finished = PatientRecords(true);
  MeasureBytes(finished);
  MeasureFold("fold_open", open, 0);
  MeasureFold("fold_kept", finished, 1'000'000);
  MeasureFold("fold_expired", finished, 1'000'000'000);
  MeasureChain(open);
}

}  // namespace
}  // namespace buckthornmux::home

int main() { buckthornmux::home::Measure(); }
