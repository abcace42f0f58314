/// The list of all error kinds and the table that maps them to answers.
/// docs/ERRORS.md documents them for callers; unit-error checks it against
/// this.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux {

/// Whether the work of a refused request may have run.
enum class Ran : std::uint8_t {
  kNo,       ///< No start was or will be sent for this request.
  kUnknown,  ///< It may have run; at most once if non-idempotent.
  kYes,      ///< It ran.
};

/// All errors, numbered by family: 1 input, 2 access, 3 admission,
/// 4 ownership and peers, 5 platform, 6 execution, 7 configuration, 8 internal.
enum class ErrorKind : std::uint16_t {
  kMalformed = 101,
  kTooLarge = 102,
  kTooSlow = 103,
  kUnknownField = 104,
  kNotFound = 105,
  kUsage = 106,
  kFileUnreadable = 107,
  kKeyRefused = 201,
  kKindRefused = 202,
  kNotPermitted = 203,
  kNeverFits = 301,
  kCellFull = 302,
  kTeamLimit = 303,
  kDeadlineUnmeetable = 304,
  kDeadlinePassed = 305,
  kQueueFull = 306,
  kJobRefused = 307,
  kDuplicateRequest = 308,
  kOwnerUnknown = 401,
  kOwnerStale = 402,
  kPeerUnreachable = 403,
  kShuttingDown = 404,
  kNotReady = 405,
  kStoreUnavailable = 501,
  kStoreUnknown = 502,
  kStoreConflict = 503,
  kTaskFailed = 601,
  kOutcomeUnknown = 602,
  kCancelled = 603,
  kTargetUnreachable = 604,
  kTargetRefused = 605,
  kConfigInvalid = 701,
  kConfigConflict = 702,
  kConfigStale = 703,
  kInternal = 801,
};

/// One row of the table from error kind to answer.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  ///< Name in answers and logs; never changes.
  int http_status;
  Ran ran;                  ///< Default for this kind.
  Millis retry_after;       ///< Delay before a retry; 0: don't retry.
  int exit_code;            ///< Exit code of the command line.
  std::string_view advice;  ///< Meaning and remedy, one line.
};

/// @brief The answers for all kinds, in the order of their numbers.
[[nodiscard]] std::span<const ErrorAnswer> ErrorTable();

/// @brief Looks up the answer for a kind.
/// @param kind any enumerator of ErrorKind
/// Complexity: linear in the table.
[[nodiscard]] const ErrorAnswer& AnswerFor(ErrorKind kind);

/// @brief Parses the stable name of an error kind, as sent by peers and
///   targets.
/// @return the kind; kInternal for an unknown name
[[nodiscard]] ErrorKind KindFromName(std::string_view name);

/// @brief Name of a Ran value in answers: "no", "unknown" or "yes".
[[nodiscard]] std::string_view RanName(Ran ran);

/// @brief An error with its message and location.
/// @see AnswerFor
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  ///< Problem and remedy, one line.
  std::string where;    ///< File and path in the document, or empty.
};

/// A value or an Error, by Boost.LEAF.
template <class T>
using Result = boost::leaf::result<T>;

/// @brief Makes a failed result.
/// @param kind what went wrong
/// @param message problem and remedy, one line
/// @param where file and path in a document, or empty
/// @return an error id that converts to any Result
inline boost::leaf::error_id Fail(ErrorKind kind, std::string message,
                                  std::string where = {}) {
  return boost::leaf::new_error(
      Error{kind, std::move(message), std::move(where)});
}

/// A value or an Error as a plain variant, which can be passed between threads.
template <class T>
using Outcome = std::variant<T, Error>;

/// @brief Calls a function that returns a Result and converts it to an Outcome.
/// @param f callable without arguments that returns Result<T>, T not void
/// @return the value or the Error; kInternal if no Error was attached, with the
///   message of the exception if one was thrown
/// @par Example
/// @code
/// auto outcome = Capture([&] { return ParseSettings(text); });
/// @endcode
template <class F>
auto Capture(F&& f) {
  using T = std::decay_t<decltype(std::declval<F>()().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        BOOST_LEAF_AUTO(value, std::forward<F>(f)());
        return Outcome<T>(std::move(value));
      },
      [](const Error& error) { return Outcome<T>(error); },
      [](boost::leaf::catch_<std::exception> caught) {
        return Outcome<T>(
            Error{ErrorKind::kInternal, caught.matched.what(), {}});
      },
      [] {
        return Outcome<T>(Error{ErrorKind::kInternal, "no error attached", {}});
      });
}

}  // namespace buckthornmux
