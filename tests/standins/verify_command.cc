#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "buckthornmux/detail/config/documents.h"
#include "standins/standins.h"
#include "standins/verify.h"

namespace buckthornmux::standins {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("can't read " + path.string());
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reads the lines of a log. The last one may be cut off where its writer was
/// killed; any other that can't be read is an error.
template <class Line>
void ReadLog(const std::filesystem::path& path,
             Result<Line> (*parse)(std::string_view),
             std::vector<Line>& lines) {
  std::istringstream text(ReadFile(path));
  std::string line;
  while (std::getline(text, line)) {
    auto outcome = Capture([&] { return parse(line); });
    if (auto* parsed = std::get_if<Line>(&outcome)) {
      lines.push_back(std::move(*parsed));
    } else if (text.peek() != std::istringstream::traits_type::eof()) {
      throw std::runtime_error(path.string() + ": " + line);
    }
  }
}

Evidence ReadEvidence(const cxxopts::ParseResult& given) {
  Evidence evidence;
  std::vector<std::filesystem::path> logs;
  for (const auto& entry : std::filesystem::directory_iterator(
           given["targets-log"].as<std::string>())) {
    logs.push_back(entry.path());
  }
  std::ranges::sort(logs);
  for (const auto& log : logs) {
    ReadLog(log, ParseTargetLine, evidence.target_lines);
  }
  for (const auto& log : given["callers-log"].as<std::vector<std::string>>()) {
    ReadLog(log, ParseCallerLine, evidence.caller_lines);
  }
  const std::vector<config::Document> documents{
      {"inventory", ReadFile(given["inventory"].as<std::string>())},
      {"rules", ReadFile(given["rules"].as<std::string>())}};
  config::Problems problems;
  const auto declared = config::ParseDocuments(documents, problems);
  for (const TargetSpec& target : declared.targets) {
    evidence.capacity[target.id] = target.capacity;
  }
  for (const config::Team& team : declared.teams) {
    evidence.limits[team.name] = team.limit;
  }
  evidence.killed = given["killed"].as<std::vector<std::string>>();
  return evidence;
}

}  // namespace

int RunVerify(int argc, const char* const* argv) {
  cxxopts::Options options("standin verify",
                           "Checks what must hold against targets' logs");
  options.add_options()("targets-log", "directory with the targets' logs",
                        cxxopts::value<std::string>())(
      "callers-log", "callers' log, repeatable",
      cxxopts::value<std::vector<std::string>>())(
      "inventory", "inventory in force", cxxopts::value<std::string>())(
      "rules", "rules in force", cxxopts::value<std::string>())(
      "killed", "targets whose process was killed for good",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  const Evidence evidence = ReadEvidence(options.parse(argc, argv));
  bool holds = true;
  for (const Finding& finding : Verify(evidence)) {
    std::cout << "property=" << finding.property
              << " checked=" << finding.checked
              << " breaches=" << finding.breaches;
    if (finding.breaches > 0) {
      std::cout << " example=\"" << finding.example << '"';
    }
    std::cout << '\n';
    holds = holds && finding.breaches == 0;
  }
  return holds ? 0 : 1;
}

}  // namespace buckthornmux::standins
