#include <iomanip>
#include <ostream>

#include "buckthornmux/detail/cli/fleet_view.h"
#include "buckthornmux/detail/cli/job_view.h"
#include "buckthornmux/detail/cli/options.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux status --entry 127.0.0.1:7001 --key-file operator.key\n"
    "  buckthornmux status --job depot-7 --entry 127.0.0.1:7001 --key-file "
    "north.key\n";
constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 10;

std::ostream& Name(std::ostream& out, const std::string& text) {
  return out << std::left << std::setw(kNameWidth) << text << std::right;
}

void PrintMembers(const FleetView& fleet, std::ostream& out) {
  out << "entry hosts\n";
  for (const FleetMember& member : fleet.members) {
    std::size_t owned = 0;
    for (const FleetOwner& owner : fleet.owners) {
      owned += owner.owner == member.id ? 1U : 0U;
    }
    Name(out, "  " + member.id)
        << ' ' << member.data_centre << ' ' << member.http_address
        << " revision " << member.config_revision << ", owns " << owned
        << (member.leaving ? ", leaving" : "")
        << (member.heard ? "" : ", does not answer") << '\n';
  }
}

void PrintTeams(const FleetView& fleet, std::ostream& out) {
  Name(out, "teams") << std::setw(kNumberWidth) << "share"
                     << std::setw(kNumberWidth) << "limit"
                     << std::setw(kNumberWidth) << "use" << '\n';
  for (const FleetTeam& team : fleet.teams) {
    Name(out, "  " + team.name)
        << std::setw(kNumberWidth) << team.share << std::setw(kNumberWidth)
        << team.limit << std::setw(kNumberWidth) << team.use << '\n';
  }
}

void PrintQueues(const FleetView& fleet, std::ostream& out) {
  Name(out, "kinds") << std::setw(kNumberWidth) << "queued"
                     << std::setw(kNumberWidth) << "running" << '\n';
  for (const FleetQueue& queue : fleet.queues) {
    Name(out, "  " + queue.kind)
        << std::setw(kNumberWidth) << queue.queued << std::setw(kNumberWidth)
        << queue.running << '\n';
  }
}

Result<int> PrintFleet(EntryClient& client, bool as_json, Terminal& terminal) {
  BOOST_LEAF_AUTO(body,
                  client.Call({.target = "/v1/fleet"}, Retry::kIdempotent));
  BOOST_LEAF_AUTO(fleet, ParseFleet(body));
  if (as_json) {
    terminal.out << body << '\n';
    return 0;
  }
  PrintMembers(fleet, terminal.out);
  PrintTeams(fleet, terminal.out);
  PrintQueues(fleet, terminal.out);
  terminal.out << "targets: " << fleet.targets_usable << " usable, "
               << fleet.targets_leaving << " leaving, "
               << fleet.targets_unreachable << " unreachable\n";
  return 0;
}

}  // namespace

Result<int> RunStatusCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options("buckthornmux status",
                           "Shows the fleet, teams and queues (operators' "
                           "key), or one job (its team's key).");
  AddEntryOptions(options);
  options.add_options()("job", "Request id of a job",
                        cxxopts::value<std::string>(),
                        "ID")("kind", "For a job submitted without a key",
                              cxxopts::value<std::string>(), "NAME");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  EntryClient client(entry_options);
  const bool as_json = parsed->count("json") > 0;
  const std::string id = TextOption(*parsed, "job");
  if (id.empty()) {
    return PrintFleet(client, as_json, terminal);
  }
  BOOST_LEAF_AUTO(body,
                  FetchJob(client, id, TextOption(*parsed, "kind"), Millis(0)));
  BOOST_LEAF_AUTO(job, ParseJobView(body));
  if (as_json) {
    terminal.out << body << '\n';
  } else {
    PrintJob(job, terminal.out);
  }
  return ExitCodeOf(job);
}

}  // namespace buckthornmux::cli
