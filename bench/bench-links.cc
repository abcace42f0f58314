// Cost of idle target links: bytes and processor time per link at the usual
// renewal period, against 160 target stand-ins in the same process.
// Prints key=value lines. Usage: bench-links [targets] [seconds]
#include <sys/resource.h>

#include <atomic>
#include <charconv>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "buckthornmux/detail/target/target_links.h"
#include "standins/balancer.h"
#include "standins/io_thread.h"
#include "standins/target_server.h"

namespace buckthornmux {
namespace {

constexpr std::size_t kTargets = 160;
constexpr std::size_t kSeconds = 20;
constexpr std::size_t kTargetsPerShard = 40;
constexpr std::chrono::seconds kSettling{3};

/// Processor time of one thread, in seconds.
double ThreadCpu(std::thread& thread) {
  clockid_t clock{};
  timespec time{};
  pthread_getcpuclockid(thread.native_handle(), &clock);
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

std::size_t Argument(int argc, const char* const* argv, int index,
                     std::size_t fallback) {
  if (argc <= index) {
    return fallback;
  }
  const std::string_view text(argv[index]);
  std::size_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

int Run(std::size_t count, std::size_t seconds) {
  standins::IoThread server_io;
  standins::IoThread relay_io;
  standins::IoThread client_io;
  std::vector<std::unique_ptr<standins::TargetServer>> servers;
  std::vector<TargetSpec> specs;
  for (std::size_t i = 0; i < count; ++i) {
    standins::TargetOptions options;
    options.id = "t" + std::to_string(i);
    servers.push_back(
        std::make_unique<standins::TargetServer>(server_io.io, options));
    TargetSpec spec;
    spec.id = options.id;
    spec.address = servers.back()->Address();
    specs.push_back(spec);
  }
  // The last target is reached through a relay that counts bytes.
  standins::BalancerOptions relay_options;
  relay_options.backends = {specs.back().address};
  relay_options.poll_every = std::chrono::hours(1);
  const standins::Balancer relay(relay_io.io, relay_options);
  specs.back().address = relay.Address();
  std::atomic<std::size_t> events = 0;
  net::HttpClient client(client_io.io, {});
  target::TargetLinks links(
      client_io.io, client, {},
      [&events](const ShardId&, const sched::Event&) { ++events; });
  for (std::size_t first = 0; first < count; first += kTargetsPerShard) {
    const std::size_t size = std::min(kTargetsPerShard, count - first);
    links.SetShard("shard-" + std::to_string(first / kTargetsPerShard), 1,
                   std::span(specs).subspan(first, size));
  }
  std::this_thread::sleep_for(kSettling);
  const std::size_t reports = events;
  const std::uint64_t bytes_before = relay.BytesCopied();
  const double client_before = ThreadCpu(client_io.thread);
  const double server_before = ThreadCpu(server_io.thread);
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const auto per_link_second = static_cast<double>(count * seconds);
  const double client_cpu = ThreadCpu(client_io.thread) - client_before;
  const double server_cpu = ThreadCpu(server_io.thread) - server_before;
  const auto bytes = static_cast<double>(relay.BytesCopied() - bytes_before);
  std::cout << "targets=" << count << "\nseconds=" << seconds
            << "\nfirst_reports=" << reports
            << "\nevents_while_idle=" << events - reports
            << "\nhttp_bytes_per_second_per_link="
            << bytes / static_cast<double>(seconds)
            << "\nlink_cpu_us_per_second=" << client_cpu * 1e6 / per_link_second
            << "\nlink_cpu_percent_of_core="
            << client_cpu * 100.0 / static_cast<double>(seconds)
            << "\nstandin_cpu_us_per_second="
            << server_cpu * 1e6 / per_link_second << '\n';
  return reports == count && events == reports ? 0 : 1;
}

}  // namespace
}  // namespace buckthornmux

int main(int argc, char** argv) {
  using buckthornmux::Argument;
  return buckthornmux::Run(Argument(argc, argv, 1, buckthornmux::kTargets),
                           Argument(argc, argv, 2, buckthornmux::kSeconds));
}
