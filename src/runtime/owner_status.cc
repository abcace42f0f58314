// The owner duty's part of /v1/fleet.
#include <boost/json.hpp>
#include <map>

#include "buckthornmux/detail/runtime/owner_duty.h"

namespace buckthornmux::runtime {
namespace {

namespace json = boost::json;

struct TargetCounts {
  std::int64_t usable = 0;
  std::int64_t leaving = 0;
  std::int64_t unreachable = 0;
  std::int64_t aside = 0;

  void Add(const sched::TargetCondition& condition) {
    usable += condition.usable ? 1 : 0;
    leaving += condition.leaving ? 1 : 0;
    unreachable += condition.reachable ? 0 : 1;
    aside += condition.aside ? 1 : 0;
  }
};

}  // namespace

std::string OwnerDuty::StatusJson() const {
  std::map<std::string, std::int64_t> queued;
  std::map<std::string, std::int64_t> running;
  std::map<std::string, std::int64_t> use;
  std::map<std::string, std::int64_t> grants;
  TargetCounts targets;
  for (const auto& [id, shard] : m_shards) {
    for (const auto& [kind, count] : sched::QueueLengths(shard.state)) {
      queued[kind] += count;
    }
    for (const auto& [task_id, task] : shard.state.tasks) {
      running[task.spec.kind] +=
          task.phase == sched::TaskPhase::kRunning ? 1 : 0;
    }
    for (const sched::TeamUse& team : sched::TeamUses(shard.state)) {
      use[team.team] += team.used.slots;
      grants[team.team] += team.grant;
    }
    for (const auto& condition : sched::TargetConditions(shard.state)) {
      targets.Add(condition);
    }
  }
  const home::JobCounts jobs = home::CountJobs(m_home);
  json::object status;
  status["host"] = m_wiring.settings.host_id;
  status["revision"] = m_config->revision;
  status["shards"] = m_shards.size();
  status["partitions"] = m_home.partitions.size();
  status["queued"] = json::value_from(queued);
  status["running"] = json::value_from(running);
  status["use"] = json::value_from(use);
  status["grants"] = json::value_from(grants);
  status["targets"] = {{"usable", targets.usable},
                       {"leaving", targets.leaving},
                       {"unreachable", targets.unreachable},
                       {"aside", targets.aside}};
  status["jobs"] = {{"accepted", jobs.accepted},
                    {"running", jobs.running},
                    {"done", jobs.done},
                    {"failed", jobs.failed},
                    {"cancelled", jobs.cancelled}};
  return json::serialize(status);
}

}  // namespace buckthornmux::runtime
