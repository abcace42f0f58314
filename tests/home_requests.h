/// Requests for the randomised test of partition owners.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/home/home.h"

namespace buckthornmux::home {

/// The only partition that the test uses.
inline constexpr Partition kPart = 7;

/// Returns requests of different classes and sizes, all in kPart.
inline std::vector<JobRequest> MakeRequests() {
  std::vector<JobRequest> requests;
  for (int number = 0; requests.size() < 14; ++number) {
    JobRequest request;
    request.id = "r" + std::to_string(number);
    request.team = "red";
    if (PartitionOf(request.team, request.id) != kPart) {
      continue;
    }
    const std::size_t sort = requests.size();
    request.kind = "any";
    request.idempotent = sort % 2 == 0;
    request.work_class =
        sort % 4 < 2 ? WorkClass::kUrgent : WorkClass::kPatient;
    request.tasks = sort < 8 ? 1 : 2;
    request.all_at_once = sort >= 12;
    request.demand = {1, 0, 0, 0};
    request.payload = "payload of " + request.id;
    requests.push_back(std::move(request));
  }
  return requests;
}

}  // namespace buckthornmux::home
