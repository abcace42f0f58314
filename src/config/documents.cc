#include "buckthornmux/detail/config/documents.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "buckthornmux/detail/config/duplicate_fields.h"
#include "buckthornmux/detail/config/fields.h"
#include "buckthornmux/detail/config/json_reader.h"

namespace buckthornmux::config {
namespace {

namespace json = boost::json;

constexpr std::string_view kTargets = "targets";
constexpr std::string_view kTeams = "teams";
constexpr std::string_view kKinds = "kinds";

bool IsInventory(const json::value& document) {
  return document.is_object() && document.get_object().contains(kTargets);
}

/// Where a list is read from and what it adds to.
struct ListContext {
  ObjectReader& document;
  std::string_view file;
  std::string_view name;
  Problems& problems;
};

template <class T, class F>
void ReadList(const ListContext& context, std::vector<T>& items,
              std::vector<Origin>& origins, F read) {
  const json::array* array = context.document.Array(context.name, true);
  if (array == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const std::string path =
        JoinPath(context.document.PathOf(context.name), std::to_string(i));
    ObjectReader reader((*array)[i], context.file, path, context.problems);
    if (!reader.IsObject()) {
      continue;
    }
    items.push_back(read(reader));
    origins.push_back({std::string(context.file), path});
    reader.ReportUnknownFields();
  }
}

void ReadDocument(const json::value& value, const std::string& file,
                  Declared& declared, Problems& problems) {
  ObjectReader reader(value, file, "", problems);
  if (!reader.IsObject()) {
    return;
  }
  if (IsInventory(value)) {
    declared.inventory_file = file;
    ReadList({reader, file, kTargets, problems}, declared.targets,
             declared.target_origins, ReadTarget);
  } else {
    declared.rules_file = file;
    ReadList({reader, file, kTeams, problems}, declared.teams,
             declared.team_origins, ReadTeam);
    ReadList(
        {reader, file, kKinds, problems}, declared.kinds, declared.kind_origins,
        [&](ObjectReader& kind) { return ReadKind(kind, file, problems); });
  }
  reader.ReportUnknownFields();
}

void Append(const json::value& from, std::string_view name, json::array& to) {
  const json::value* list = from.get_object().if_contains(name);
  if (list != nullptr && list->is_array()) {
    for (const json::value& item : list->get_array()) {
      to.push_back(item);
    }
  }
}

}  // namespace

Declared ParseDocuments(std::span<const Document> documents,
                        Problems& problems) {
  Declared declared;
  for (const Document& document : documents) {
    const auto outcome =
        Capture([&] { return ParseJson(document.text, document.file); });
    if (const auto* error = std::get_if<Error>(&outcome)) {
      problems.push_back({document.file, "", error->message});
      continue;
    }
    for (std::string& path : DuplicateFields(document.text)) {
      problems.push_back({document.file, std::move(path),
                          "field stands twice: expected each once"});
    }
    ReadDocument(std::get<json::value>(outcome), document.file, declared,
                 problems);
  }
  return declared;
}

std::string MergeDocuments(std::span<const Document> documents) {
  json::array targets;
  json::array teams;
  json::array kinds;
  for (const Document& document : documents) {
    const json::value value = json::parse(document.text);
    Append(value, kTargets, targets);
    Append(value, kTeams, teams);
    Append(value, kKinds, kinds);
  }
  const json::object merged{
      {"inventory", {{kTargets, std::move(targets)}}},
      {"rules", {{kTeams, std::move(teams)}, {kKinds, std::move(kinds)}}}};
  return json::serialize(merged);
}

}  // namespace buckthornmux::config
