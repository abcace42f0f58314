#include "standins/target_log.h"

#include <boost/json.hpp>

namespace buckthornmux::standins {

namespace json = boost::json;

std::string LogLine(const TargetState& state, WallMillis at,
                    std::string_view what, const sched::ReportedTask& task,
                    std::string_view detail) {
  const TaskSpec& spec = task.spec;
  return json::serialize(
      json::object{{"at", at},
                   {"target", state.id},
                   {"instance", state.instance},
                   {"event", what},
                   {"detail", detail},
                   {"task", task.id},
                   {"attempt", task.attempt},
                   {"epoch", task.epoch},
                   {"team", spec.team},
                   {"job", spec.job},
                   {"index", spec.index},
                   {"idempotent", spec.idempotent},
                   {"slots", spec.demand.slots},
                   {"cpu_milli", spec.demand.cpu_milli},
                   {"memory_mb", spec.demand.memory_mb},
                   {"accelerators", spec.demand.accelerators}});
}

}  // namespace buckthornmux::standins
