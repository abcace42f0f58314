/// What the open-loop callers send, and how they take answers. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/net/http_types.h"
#include "standins/evidence.h"

namespace buckthornmux::standins {

/// One part of the mix, by name: "urgent" (idempotent), "nonidem" (urgent),
/// "patient" (not idempotent) or "rebuild" (patient, idempotent).
struct MixPart {
  std::string name;
  double weight = 1;
  bool idempotent = false;
  bool patient = false;
};

/// @brief Parses a mix, for instance "urgent=0.4,nonidem=0.4,patient=0.2".
/// @return its parts; kUsage with the expected form
[[nodiscard]] Result<std::vector<MixPart>> ParseMix(std::string_view text);

/// One request, with the state of its tries.
struct PlannedRequest {
  CallerLine line;
  std::string kind;
  std::int64_t run_ms = 0;
  std::int64_t deadline_ms = 0;
  int tries = 0;
};

/// @brief Body of POST /v1/jobs.
[[nodiscard]] std::string JobBody(const PlannedRequest& request);

/// What a caller does after an answer.
struct NextStep {
  enum class Kind : std::uint8_t { kFinished, kTryAgain, kPoll };
  Kind kind = Kind::kFinished;
  Millis after{0};
};

/// @brief Takes the answer to a submission or poll into the request's line.
///
/// A refusal that says "ran: no" with a time to come back is tried again then;
/// a call that brought no answer is tried again where the work is idempotent or
/// the call was surely not sent; an accepted job is polled to its end.
/// @param most_tries bound of tries, polls not counted
[[nodiscard]] NextStep TakeAnswer(PlannedRequest& request,
                                  const Outcome<net::HttpResponse>& outcome,
                                  int most_tries);

}  // namespace buckthornmux::standins
