/// What is known of tasks that slow each other down on a target.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::cell {

/// Number of a kind of task in the table; 0 if it isn't known.
using KindNumber = std::uint8_t;
/// A set of kinds, one bit each.
using KindSet = std::uint64_t;
inline constexpr std::size_t kMaxKinds = 64;
/// Teams are told apart by so many groups.
inline constexpr std::size_t kTeamGroups = 4;

struct KindEntry {
  std::string name;  ///< Queue, and image or size class; empty if it is free.
  Time used;
  /// Squares of the differences between run times of a step, and their number.
  double squares = 0;
  double count = 0;
};

/// Differences between the logarithms of run times with and without a kind
/// beside, halved in weight with time.
struct Contrast {
  double sum = 0;
  double weight = 0;
};

struct PairEntry {
  std::array<Contrast, kTeamGroups> groups;
  Time at;
  std::size_t first_job = 0;  ///< Hash of the first job with evidence.
  bool several_jobs = false;
  bool found = false;
  /// No team alone makes up the evidence.
  bool several_teams = false;
  double slowdown = 1;
};

/// Kinds of tasks, and pairs of a kind and another one beside it.
struct InterferenceTable {
  std::array<KindEntry, kMaxKinds> kinds;  ///< The first stays free.
  std::map<std::pair<KindNumber, KindNumber>, PairEntry> pairs;
  /// By kind: those that it is to be kept apart from.
  std::array<KindSet, kMaxKinds> apart{};
  std::size_t found = 0;
  Time judged_at;
};

/// Kinds that a run has been beside that have ended, with the time.
struct BesideTime {
  KindNumber kind = 0;
  Millis time{0};
};

}  // namespace buckthornmux::cell
