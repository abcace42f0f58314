/// JSON conversion of tasks, resources and homes.
#pragma once

#include "buckthornmux/detail/core/json_reader.h"
#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::target {

[[nodiscard]] boost::json::object ToJson(const Resources& resources);
[[nodiscard]] boost::json::object ToJson(const TaskSpec& task);
[[nodiscard]] boost::json::object ToJson(const sched::Home& home);
[[nodiscard]] boost::json::object ToJson(const sched::ReportedTask& task);

/// @brief Read one value each; the outer reader records errors.
void ReadResources(JsonReader& outer, std::string_view name, Resources& out);
void ReadTask(JsonReader& outer, std::string_view name, TaskSpec& out);
void ReadHome(JsonReader& outer, std::string_view name, sched::Home& out);
void ReadReportedTask(JsonReader& reader, sched::ReportedTask& out);

}  // namespace buckthornmux::target
