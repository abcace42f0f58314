#include "buckthornmux/detail/config/diff.h"

#include <map>
#include <sstream>
#include <string_view>

#include "buckthornmux/detail/config/codec.h"

namespace buckthornmux::config {
namespace {

constexpr std::size_t kMaxSummary = 240;  // Characters.

/// One field as text.
struct Field {
  std::string_view name;
  std::string value;
};
using Fields = std::vector<Field>;

/// What a change of a subject does, by type and, for changes, by field.
struct Effects {
  std::string_view added;
  std::string_view removed;
};

constexpr std::string_view kTakesForce = "in force within seconds";

std::string Join(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text.empty() ? "none" : text;
}

std::string Text(double number) {
  std::ostringstream stream;
  stream << number;
  return stream.str();
}

std::string Text(const Resources& demand) {
  return std::to_string(demand.slots) + " slots/" +
         std::to_string(demand.cpu_milli) + " cpu_milli/" +
         std::to_string(demand.memory_mb) + " MB/" +
         std::to_string(demand.accelerators) + " accelerators";
}

Fields FieldsOf(const TargetSpec& target) {
  return {{"address", target.address},
          {"data_centre", target.data_centre},
          {"rack", target.rack},
          {"host", target.host},
          {"capacity", Text(target.capacity)},
          {"connections", std::to_string(target.connections)},
          {"labels", Join(target.labels)}};
}

Fields FieldsOf(const Team& team) {
  return {{"share", Text(team.share)},
          {"limit_slots", std::to_string(team.limit)}};
}

Fields FieldsOf(const WorkKind& kind) {
  return {{"class", std::string(ClassName(kind.work_class))},
          {"open_to_all", kind.open_to_all ? "true" : "false"},
          {"teams", Join(kind.teams)},
          {"demand", Text(kind.demand)},
          {"expected_run_ms", std::to_string(kind.expected_run.count())},
          {"labels", Join(kind.labels)}};
}

Fields FieldsOf(const TeamKey& key) { return {{"team", key.team}}; }

std::string_view EffectOfField(std::string_view name) {
  if (name == "capacity" || name == "limit_slots") {
    return "in force within seconds; where lowered, what runs may finish and "
           "nothing new starts above it";
  }
  if (name == "share") {
    return "in force within seconds, felt while the cell is full";
  }
  if (name == "address") {
    return "in force within seconds; the target is asked at the new address "
           "before it gets work";
  }
  return kTakesForce;
}

Change Changed(std::string_view subject, const std::string& name,
               const Fields& before, const Fields& after) {
  Change change{Change::Type::kChanged, std::string(subject), name, {}, {}};
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].value == after[i].value) {
      continue;
    }
    change.detail += (change.detail.empty() ? "" : ", ") +
                     std::string(before[i].name) + " " + before[i].value +
                     " -> " + after[i].value;
    const std::string_view effect = EffectOfField(before[i].name);
    if (change.effect.size() < effect.size()) {
      change.effect = effect;
    }
  }
  return change;
}

std::string Describe(const Fields& fields) {
  std::string text;
  for (const Field& field : fields) {
    text += (text.empty() ? "" : ", ") + std::string(field.name) + " " +
            field.value;
  }
  return text;
}

template <class T>
void DiffLists(std::string_view subject, const std::vector<T>& from,
               const std::vector<T>& to, std::string T::*name,
               const Effects& effects, std::vector<Change>& changes) {
  std::map<std::string_view, const T*> before;
  std::map<std::string_view, const T*> after;
  for (const T& item : from) {
    before.emplace(item.*name, &item);
  }
  for (const T& item : to) {
    after.emplace(item.*name, &item);
    if (!before.contains(item.*name)) {
      changes.push_back({Change::Type::kAdded, std::string(subject), item.*name,
                         Describe(FieldsOf(item)), std::string(effects.added)});
    }
  }
  for (const auto& [key, item] : before) {
    const auto found = after.find(key);
    if (found == after.end()) {
      changes.push_back({Change::Type::kRemoved,
                         std::string(subject),
                         item->*name,
                         {},
                         std::string(effects.removed)});
      continue;
    }
    Change change = Changed(subject, item->*name, FieldsOf(*item),
                            FieldsOf(*found->second));
    if (!change.detail.empty()) {
      changes.push_back(std::move(change));
    }
  }
}

char Sign(Change::Type type) {
  switch (type) {
    case Change::Type::kAdded:
      return '+';
    case Change::Type::kRemoved:
      return '-';
    case Change::Type::kChanged:
      return '~';
  }
  return '~';
}

}  // namespace

std::vector<Change> DiffConfigs(const Config& from, const Config& to) {
  std::vector<Change> changes;
  DiffLists("target", from.targets, to.targets, &TargetSpec::id,
            {"used once it has reported what it runs",
             "gets no new work within seconds"},
            changes);
  DiffLists("team", from.teams, to.teams, &Team::name,
            {"may be granted keys at once",
             "its keys are dropped and refused within seconds"},
            changes);
  DiffLists("kind", from.kinds, to.kinds, &WorkKind::name,
            {"taken within seconds", "new requests are refused within seconds"},
            changes);
  DiffLists("key", from.keys, to.keys, &TeamKey::id,
            {"works within seconds", "refused within seconds"}, changes);
  return changes;
}

std::string FormatChange(const Change& change) {
  std::string line(1, Sign(change.type));
  line += " " + change.subject + " " + change.name;
  if (!change.detail.empty()) {
    line += " [" + change.detail + "]";
  }
  return line + ": " + change.effect;
}

std::string Summarize(std::span<const Change> changes) {
  if (changes.empty()) {
    return "nothing changed";
  }
  std::map<std::string, std::size_t> counts;
  std::string names;
  for (const Change& change : changes) {
    ++counts[change.subject + "s " + Sign(change.type)];
    if (names.size() < kMaxSummary) {
      names += std::string(names.empty() ? "" : ", ") + Sign(change.type) +
               change.name;
      if (change.type == Change::Type::kChanged) {
        names += " (" + change.detail + ")";
      }
    }
  }
  std::string summary;
  for (const auto& [what, count] : counts) {
    summary += (summary.empty() ? "" : ", ") + what + std::to_string(count);
  }
  if (names.size() > kMaxSummary) {
    names.resize(kMaxSummary);
    names += "...";
  }
  return summary + ": " + names;
}

}  // namespace buckthornmux::config
