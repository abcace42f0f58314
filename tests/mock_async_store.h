/// In-memory mock of AsyncStore; answers at once or injects the requested
/// fault.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::tests {

/// How a commit is handled.
enum class CommitOutcome : std::uint8_t {
  kAnswered,
  kLostAfter,     ///< Applied; kStoreUnknown is returned.
  kLostBefore,    ///< Not applied; kStoreUnknown is returned.
  kDelayed,       ///< kStoreUnknown; applied by `RunDelayed`.
  kRefused,       ///< Not applied; kStoreUnavailable is returned.
  kSilentAfter,   ///< Applied; the call never completes.
  kSilentBefore,  ///< Not applied; the call never completes.
};

class MockAsyncStore {
 public:
  store::AsyncStore Calls() {
    store::AsyncStore calls;
    calls.get = [this](std::string key, const auto& reply) { Get(key, reply); };
    calls.list = [this](std::string prefix, std::string after,
                        const auto& reply) { List(prefix, after, reply); };
    calls.watch = [](std::string, Revision, Millis, const auto&) {};
    calls.commit = [this](store::Transaction transaction, const auto& reply) {
      Commit(std::move(transaction), reply);
    };
    calls.grant_lease = [this](Millis ttl, const auto& reply) {
      ++lease_calls;
      if (lost_lease_calls > 0) {
        --lost_lease_calls;
        return;
      }
      reply(store::LeaseGrant{next_lease++, ttl});
    };
    calls.renew_lease = [this](store::LeaseId, const auto& reply) {
      ++lease_calls;
      if (lost_lease_calls > 0) {
        --lost_lease_calls;
        return;
      }
      reply(true);
    };
    calls.end_lease = [](store::LeaseId, const auto& reply) { reply(true); };
    return calls;
  }

  std::size_t max_value_bytes = 1 << 20;

  void Put(const std::string& key, std::string value) {
    items[key] = {key, std::move(value), ++revision};
  }

  /// @brief Applies the delayed commits.
  void RunDelayed() {
    for (const auto& transaction : std::exchange(delayed, {})) {
      (void)Apply(transaction);
    }
  }

  std::map<std::string, store::Entry> items;
  Revision revision = 0;
  /// Outcomes of the next commits, in order; later ones are kAnswered.
  std::deque<CommitOutcome> commit_outcomes;
  std::vector<store::Transaction> delayed;
  bool away = false;  ///< Reads fail with kStoreUnavailable.
  store::LeaseId next_lease = 1;
  int lost_lease_calls = 0;  ///< Number of lease calls left unanswered.
  int lease_calls = 0;
  int commits = 0;
  int reads = 0;
  std::size_t page = 500;
  int lists = 0;
  int list_failure_interval = 0;  ///< Every n-th list call fails; 0: none.
  /// Answers to list calls wait for AnswerLists, with what was stored when they
  /// were called.
  bool hold_lists = false;
  std::vector<std::function<void()>> held_lists;

  /// @brief Answers the list calls that wait.
  void AnswerLists() {
    for (const auto& answer : std::exchange(held_lists, {})) {
      answer();
    }
  }

 private:
  void Get(const std::string& key,
           const store::Reply<std::optional<store::Entry>>& reply) {
    ++reads;
    if (away) {
      reply(
          Error{ErrorKind::kStoreUnavailable, "mock store is unavailable", {}});
      return;
    }
    const auto found = items.find(key);
    reply(found == items.end() ? std::optional<store::Entry>()
                               : std::optional(found->second));
  }

  void List(const std::string& prefix, const std::string& after,
            const store::Reply<store::ItemPage>& reply) {
    ++reads;
    ++lists;
    if (away ||
        (list_failure_interval > 0 && lists % list_failure_interval == 0)) {
      reply(
          Error{ErrorKind::kStoreUnavailable, "mock store is unavailable", {}});
      return;
    }
    store::ItemPage result;
    result.revision = revision;
    for (const auto& [key, item] : items) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (result.items.size() == page) {
        result.more = true;
        break;
      }
      result.items.push_back(item);
    }
    if (hold_lists) {
      held_lists.push_back([reply, result] { reply(result); });
      return;
    }
    reply(result);
  }

  void Commit(store::Transaction transaction,
              const store::Reply<store::TransactionEnd>& reply) {
    ++commits;
    CommitOutcome outcome = CommitOutcome::kAnswered;
    if (!commit_outcomes.empty()) {
      outcome = commit_outcomes.front();
      commit_outcomes.pop_front();
    }
    const Error lost{ErrorKind::kStoreUnknown, "no answer", {}};
    switch (outcome) {
      case CommitOutcome::kAnswered:
        reply(Apply(transaction));
        break;
      case CommitOutcome::kLostAfter:
        (void)Apply(transaction);
        reply(lost);
        break;
      case CommitOutcome::kLostBefore:
        reply(lost);
        break;
      case CommitOutcome::kDelayed:
        delayed.push_back(std::move(transaction));
        reply(lost);
        break;
      case CommitOutcome::kRefused:
        reply(Error{ErrorKind::kStoreUnavailable, "503", {}});
        break;
      case CommitOutcome::kSilentAfter:
        (void)Apply(transaction);
        break;
      case CommitOutcome::kSilentBefore:
        break;
    }
  }

  store::TransactionEnd Apply(const store::Transaction& transaction) {
    store::TransactionEnd end;
    for (const store::ItemWrite& write : transaction.writes) {
      if (write.value.size() > max_value_bytes) {
        end.kind = store::TransactionEnd::Kind::kRejected;
        end.reason = "value too long: " + write.key;
        return end;
      }
    }
    for (const store::Condition& condition : transaction.conditions) {
      const auto found = items.find(condition.key);
      const Revision there =
          found == items.end() ? store::kAbsent : found->second.revision;
      if (found != items.end()) {
        end.current.push_back(found->second);
      }
      if (there != condition.revision) {
        end.kind = store::TransactionEnd::Kind::kConditionFailed;
      }
    }
    if (end.kind == store::TransactionEnd::Kind::kConditionFailed) {
      return end;
    }
    end.current.clear();
    end.revision = ++revision;
    for (const store::ItemWrite& write : transaction.writes) {
      items[write.key] = {write.key, write.value, revision};
    }
    for (const std::string& key : transaction.erasures) {
      items.erase(key);
    }
    return end;
  }
};

}  // namespace buckthornmux::tests
