#include <algorithm>
#include <limits>

#include "steps.h"

namespace buckthornmux::home {
namespace {

bool HasLabels(const TargetForm& form, const std::vector<std::string>& labels) {
  return std::ranges::all_of(labels, [&](const std::string& label) {
    return std::ranges::find(form.labels, label) != form.labels.end();
  });
}

/// How many times a demand fits into a capacity.
std::int64_t CountThatFits(const Resources& demand, const Resources& capacity) {
  // Below the int64 maximum, because callers multiply it by a target count.
  std::int64_t count = std::numeric_limits<std::int32_t>::max();
  const auto limit = [&](std::int64_t needed, std::int64_t available) {
    if (needed > 0) {
      count = std::min(count, available / needed);
    }
  };
  limit(demand.slots, capacity.slots);
  limit(demand.cpu_milli, capacity.cpu_milli);
  limit(demand.memory_mb, capacity.memory_mb);
  limit(demand.accelerators, capacity.accelerators);
  return count;
}

}  // namespace

bool EverFits(const HomeState& state, const JobRequest& request) {
  if (state.forms.empty()) {
    return true;  // Without a configuration, the shards decide.
  }
  const std::int64_t simultaneous_tasks =
      request.all_at_once ? request.tasks : 1;
  return std::ranges::any_of(state.forms, [&](const auto& item) {
    std::int64_t fitting = 0;
    for (const TargetForm& form : item.second) {
      if (HasLabels(form, request.labels)) {
        fitting += form.count * CountThatFits(request.demand, form.capacity);
      }
    }
    return fitting >= simultaneous_tasks;
  });
}

void OnConfig(Step& step, const ConfigInForce& event) {
  step.state.forms.clear();
  if (event.config == nullptr) {
    return;
  }
  for (const TargetSpec& target : event.config->targets) {
    std::vector<TargetForm>& forms = step.state.forms[target.shard];
    const auto same = std::ranges::find_if(forms, [&](const TargetForm& form) {
      return form.capacity == target.capacity && form.labels == target.labels;
    });
    if (same == forms.end()) {
      forms.push_back({target.capacity, target.labels, 1});
    } else {
      ++same->count;
    }
  }
}

}  // namespace buckthornmux::home
