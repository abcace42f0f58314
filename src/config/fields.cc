#include "buckthornmux/detail/config/fields.h"

#include "buckthornmux/detail/config/codec.h"

namespace buckthornmux::config {
namespace {

constexpr std::int64_t kDefaultConnections = 64;

WorkClass ReadClass(ObjectReader& reader) {
  const std::string name = reader.RequiredString("class");
  for (const WorkClass each :
       {WorkClass::kUrgent, WorkClass::kPatient, WorkClass::kService}) {
    if (name == ClassName(each)) {
      return each;
    }
  }
  if (!name.empty()) {
    reader.Report(
        "class", "expected urgent, patient or service, found \"" + name + "\"");
  }
  return WorkClass::kUrgent;
}

}  // namespace

std::string_view ClassName(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kUrgent:
      return "urgent";
    case WorkClass::kPatient:
      return "patient";
    case WorkClass::kService:
      return "service";
  }
  return "urgent";
}

TargetSpec ReadTarget(ObjectReader& reader) {
  TargetSpec target;
  target.id = reader.RequiredString("id");
  target.address = reader.RequiredString("address");
  target.data_centre = reader.RequiredString("data_centre");
  target.rack = reader.RequiredString("rack");
  target.host = reader.RequiredString("host");
  target.capacity.slots = reader.Integer("slots", {1, kMaxSlots, "slots"});
  target.capacity.cpu_milli =
      reader.Integer("cpu_milli", {0, kMaxCpuMilli, "thousandths of a core"});
  target.capacity.memory_mb =
      reader.Integer("memory_mb", {0, kMaxMemoryMb, "megabytes"});
  target.capacity.accelerators =
      reader.Integer("accelerators", {0, kMaxAccelerators, "accelerators"}, 0);
  target.connections = reader.Integer(
      "connections", {1, kMaxConnections, "connections"}, kDefaultConnections);
  target.labels = reader.Strings("labels");
  return target;
}

Team ReadTeam(ObjectReader& reader) {
  Team team;
  team.name = reader.RequiredString("name");
  team.share = reader.Number("share", 0, 1);
  team.limit = reader.Integer("limit_slots", {1, kMaxFleetSlots, "slots"});
  return team;
}

Resources ReadDemand(const boost::json::value& value, std::string_view file,
                     std::string_view path, Problems& problems) {
  ObjectReader reader(value, file, path, problems);
  Resources demand;
  demand.slots = reader.Integer("slots", {1, kMaxSlots, "slots"}, 1);
  demand.cpu_milli = reader.Integer(
      "cpu_milli", {0, kMaxCpuMilli, "thousandths of a core"}, 0);
  demand.memory_mb =
      reader.Integer("memory_mb", {0, kMaxMemoryMb, "megabytes"}, 0);
  demand.accelerators =
      reader.Integer("accelerators", {0, kMaxAccelerators, "accelerators"}, 0);
  reader.ReportUnknownFields();
  return demand;
}

WorkKind ReadKind(ObjectReader& reader, std::string_view file,
                  Problems& problems) {
  WorkKind kind;
  kind.name = reader.RequiredString("name");
  kind.work_class = ReadClass(reader);
  kind.open_to_all = reader.Bool("open_to_all", false);
  kind.teams = reader.Strings("teams");
  if (const auto* demand = reader.Value("demand")) {
    kind.demand = ReadDemand(*demand, file, reader.PathOf("demand"), problems);
  } else {
    kind.demand.slots = 1;
  }
  kind.expected_run = Millis(
      reader.Integer("expected_run_ms", {0, kMaxRunMs, "milliseconds"}, 0));
  kind.labels = reader.Strings("labels");
  return kind;
}

}  // namespace buckthornmux::config
