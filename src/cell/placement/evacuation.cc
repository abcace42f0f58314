// Evacuation of data centres: which targets get no starts.
#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "src/cell/internal.h"

namespace buckthornmux::cell {
namespace {

/// Logs that the evacuation of a data centre began or ended.
void NoteEvacuation(const Cell& cell, Actions& actions, std::string event,
                    const DataCentre& data_centre) {
  std::size_t targets = 0;
  std::size_t runs = 0;
  for (const auto& [id, target] : cell.targets) {
    if (target.entry.data_centre == data_centre) {
      targets += target.listed ? 1 : 0;
      runs += target.runs.size();
    }
  }
  Note(actions, std::move(event),
       {{"data_centre", data_centre},
        {"targets", std::to_string(targets)},
        {"runs", std::to_string(runs)}});
}

/// Drops the tickets for evacuated targets. Which targets a step may use stays
/// known, since that holds after the evacuation too.
void DropTickets(Cell& cell) {
  std::unordered_set<std::string_view> evacuated;
  for (const auto& [id, target] : cell.targets) {
    if (IsEvacuated(cell, target)) {
      evacuated.insert(id);
    }
  }
  if (evacuated.empty()) {
    return;
  }
  for (auto& [id, job] : cell.jobs) {
    for (auto& [number, occurrence] : job.occurrences) {
      for (Step& step : occurrence.steps) {
        std::erase_if(step.advice.tickets, [&](const auto& ticket) {
          return evacuated.contains(ticket.first);
        });
      }
    }
  }
}

}  // namespace

bool IsEvacuated(const Cell& cell, const Target& target) {
  return cell.evacuated.contains(target.entry.data_centre);
}

bool MayStartOn(const Cell& cell, const Target& target, Time now) {
  return IsListRecent(cell, now) &&
         (cell.evacuated_known || !cell.options.await_evacuations) &&
         !IsEvacuated(cell, target) && !target.entry.draining && !target.closed;
}

void SetEvacuated(Cell& cell, Actions& actions,
                  std::vector<DataCentre> data_centres, Time /*now*/) {
  const std::set<DataCentre> former = std::exchange(
      cell.evacuated, {std::make_move_iterator(data_centres.begin()),
                       std::make_move_iterator(data_centres.end())});
  const bool first = !std::exchange(cell.evacuated_known, true);
  if (!first && former == cell.evacuated) {
    return;
  }
  for (const DataCentre& ended : former) {
    if (!cell.evacuated.contains(ended)) {
      NoteEvacuation(cell, actions, "evacuation_ended", ended);
    }
  }
  for (const DataCentre& began : cell.evacuated) {
    if (!former.contains(began)) {
      NoteEvacuation(cell, actions, "evacuation_began", began);
    }
  }
  DropTickets(cell);
  cell.plan_due = true;
}

}  // namespace buckthornmux::cell
