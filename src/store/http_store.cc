#include "buckthornmux/detail/store/http_store.h"

#include <atomic>
#include <boost/json.hpp>
#include <map>
#include <memory>

#include "buckthornmux/detail/core/invariant.h"
#include "buckthornmux/detail/net/url.h"

namespace buckthornmux::store {
namespace {

namespace json = boost::json;
using net::HttpRequest;
using net::HttpResponse;

/// Maximum attempts to read a list whose keys change between two pages.
constexpr int kMaxListAttempts = 4;

enum class Access : std::uint8_t { kRead, kWrite };

struct Service {
  Service(net::HttpClient& http_client, std::vector<std::string> all,
          Millis timeout)
      : client(http_client), addresses(std::move(all)), call_timeout(timeout) {}
  net::HttpClient& client;
  std::vector<std::string> addresses;
  Millis call_timeout;
  std::atomic<std::size_t> current = 0;
};
using ServicePtr = std::shared_ptr<Service>;

boost::leaf::error_id InvalidAnswer(Access access) {
  return Fail(access == Access::kWrite ? ErrorKind::kStoreUnknown
                                       : ErrorKind::kStoreUnavailable,
              "the key-value service sent an invalid answer");
}

/// Error of a call without an answer.
boost::leaf::error_id CallError(const Error& error, Access access) {
  const bool may_have_effect =
      access == Access::kWrite && error.kind != ErrorKind::kPeerUnreachable;
  return Fail(
      may_have_effect ? ErrorKind::kStoreUnknown : ErrorKind::kStoreUnavailable,
      "key-value service: " + error.message);
}

/// Sends one call to the current address. After a failure, the next call uses
/// the next address.
Result<HttpResponse> Exchange(Service& service, HttpRequest request,
                              Access access, Millis wait = Millis(0)) {
  const std::size_t index = service.current.load();
  const auto& address = service.addresses[index % service.addresses.size()];
  auto outcome = service.client.CallAndWait(address, std::move(request),
                                            service.call_timeout + wait);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    std::size_t expected = index;
    service.current.compare_exchange_strong(expected, index + 1);
    return CallError(*error, access);
  }
  return std::get<HttpResponse>(std::move(outcome));
}

/// Error for an answer with a status other than 200.
boost::leaf::error_id StatusError(const HttpResponse& response, Access access) {
  switch (response.status) {
    case 404:
    case 410:
      return Fail(ErrorKind::kNotFound, "no such key or lease");
    case 409:
      return Fail(ErrorKind::kStoreConflict, "the key has another revision");
    case 413:
      return Fail(ErrorKind::kTooLarge,
                  "the value is too large for the key-value service");
    case 429:
    case 503:
      return Fail(ErrorKind::kStoreUnavailable,
                  "the key-value service is rate-limited or unavailable");
    default:
      return InvalidAnswer(access);
  }
}

Result<json::object> ParseObject(const HttpResponse& response, Access access) {
  boost::system::error_code error;
  json::value document = json::parse(response.body, error);
  if (error || !document.is_object()) {
    return InvalidAnswer(access);
  }
  return std::move(document.as_object());
}

Result<json::object> CallForObject(Service& service, HttpRequest request,
                                   Access access, Millis wait = Millis(0)) {
  BOOST_LEAF_AUTO(response,
                  Exchange(service, std::move(request), access, wait));
  if (response.status != 200) {
    return StatusError(response, access);
  }
  return ParseObject(response, access);
}

Result<std::uint64_t> ParseNumber(const json::object& object,
                                  std::string_view name, Access access) {
  const auto* value = object.if_contains(name);
  boost::system::error_code error;
  const auto number =
      value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  if (value == nullptr || error) {
    return InvalidAnswer(access);
  }
  return number;
}

Result<Entry> ParseEntry(const json::value& item) {
  const auto* object = item.if_object();
  const auto* key = object == nullptr ? nullptr : object->if_contains("key");
  if (key == nullptr || !key->is_string()) {
    return InvalidAnswer(Access::kRead);
  }
  Entry entry;
  entry.key = std::string(key->as_string());
  if (const auto* value = object->if_contains("value");
      value != nullptr && value->is_string()) {
    entry.value = std::string(value->as_string());
  }
  BOOST_LEAF_ASSIGN(entry.revision,
                    ParseNumber(*object, "revision", Access::kRead));
  return entry;
}

Result<std::vector<Entry>> ParseEntries(const json::object& object,
                                        std::string_view name) {
  const auto* items = object.if_contains(name);
  if (items == nullptr || !items->is_array()) {
    return InvalidAnswer(Access::kRead);
  }
  std::vector<Entry> entries;
  for (const json::value& item : items->as_array()) {
    BOOST_LEAF_AUTO(entry, ParseEntry(item));
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool IsTrue(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

Result<std::optional<Entry>> Get(Service& service, std::string_view key) {
  HttpRequest request;
  request.target = net::FormatTarget({"/v1/kv", {{"key", std::string(key)}}});
  BOOST_LEAF_AUTO(response,
                  Exchange(service, std::move(request), Access::kRead));
  if (response.status == 404) {
    return std::optional<Entry>();
  }
  if (response.status != 200) {
    return StatusError(response, Access::kRead);
  }
  BOOST_LEAF_AUTO(object, ParseObject(response, Access::kRead));
  BOOST_LEAF_AUTO(entry, ParseEntry(object));
  return std::optional<Entry>(std::move(entry));
}

/// Appends one page to `entries`; returns whether more pages follow.
Result<bool> ListPage(Service& service, net::RequestTarget& target,
                      std::vector<Entry>& entries) {
  HttpRequest request;
  request.target = net::FormatTarget(target);
  BOOST_LEAF_AUTO(object,
                  CallForObject(service, std::move(request), Access::kRead));
  BOOST_LEAF_AUTO(page, ParseEntries(object, "entries"));
  BOOST_LEAF_AUTO(revision, ParseNumber(object, "revision", Access::kRead));
  std::move(page.begin(), page.end(), std::back_inserter(entries));
  const bool more = IsTrue(object, "more");
  if (more && entries.empty()) {
    return InvalidAnswer(Access::kRead);
  }
  if (more) {
    target.query.insert_or_assign("start_after", entries.back().key);
    target.query.try_emplace("unchanged_since", std::to_string(revision));
  }
  return more;
}

Result<std::vector<Entry>> ListOnce(Service& service, std::string_view prefix) {
  net::RequestTarget target{"/v1/kv", {{"prefix", std::string(prefix)}}};
  std::vector<Entry> entries;
  bool more = true;
  while (more) {
    BOOST_LEAF_ASSIGN(more, ListPage(service, target, entries));
  }
  return entries;
}

/// Reads all pages of a list as one snapshot: the service refuses a page if a
/// key with the prefix has changed since the first page.
Result<std::vector<Entry>> List(Service& service, std::string_view prefix) {
  for (int attempt = 0; attempt < kMaxListAttempts; ++attempt) {
    auto outcome = Capture([&] { return ListOnce(service, prefix); });
    if (auto* entries = std::get_if<std::vector<Entry>>(&outcome)) {
      return std::move(*entries);
    }
    const Error& error = std::get<Error>(outcome);
    if (error.kind != ErrorKind::kStoreConflict) {
      return boost::leaf::new_error(error);
    }
  }
  return Fail(ErrorKind::kStoreUnavailable, "the keys change too often to list",
              std::string(prefix));
}

Result<Revision> Put(Service& service, std::string_view key,
                     std::string_view value, Revision expected, LeaseId lease) {
  const json::object body{{"key", key},
                          {"value", value},
                          {"expected_revision", expected},
                          {"lease", lease}};
  HttpRequest request{"PUT", "/v1/kv", json::serialize(body)};
  BOOST_LEAF_AUTO(object,
                  CallForObject(service, std::move(request), Access::kWrite));
  return ParseNumber(object, "revision", Access::kWrite);
}

Result<Revision> Erase(Service& service, std::string_view key,
                       Revision expected) {
  HttpRequest request{"DELETE"};
  request.target =
      net::FormatTarget({"/v1/kv",
                         {{"key", std::string(key)},
                          {"expected_revision", std::to_string(expected)}}});
  BOOST_LEAF_AUTO(object,
                  CallForObject(service, std::move(request), Access::kWrite));
  return ParseNumber(object, "revision", Access::kWrite);
}

Result<LeaseId> GrantLease(Service& service, Millis ttl) {
  const json::object body{{"ttl_ms", ttl.count()}};
  HttpRequest request{"POST", "/v1/leases", json::serialize(body)};
  BOOST_LEAF_AUTO(object,
                  CallForObject(service, std::move(request), Access::kWrite));
  return ParseNumber(object, "lease", Access::kWrite);
}

Result<LeaseId> CallLease(Service& service, HttpRequest request) {
  BOOST_LEAF_AUTO(object,
                  CallForObject(service, std::move(request), Access::kWrite));
  return ParseNumber(object, "lease", Access::kWrite);
}

std::string LeasePath(LeaseId lease) {
  return "/v1/leases/" + std::to_string(lease);
}

Result<WatchBatch> Watch(Service& service, std::string_view prefix,
                         Revision after, Millis wait) {
  HttpRequest request;
  request.target =
      net::FormatTarget({"/v1/watch",
                         {{"prefix", std::string(prefix)},
                          {"after", std::to_string(after)},
                          {"wait_ms", std::to_string(wait.count())}}});
  BOOST_LEAF_AUTO(
      object, CallForObject(service, std::move(request), Access::kRead, wait));
  WatchBatch batch;
  BOOST_LEAF_ASSIGN(batch.revision,
                    ParseNumber(object, "revision", Access::kRead));
  batch.compacted = IsTrue(object, "compacted");
  if (batch.compacted) {
    return batch;
  }
  BOOST_LEAF_ASSIGN(batch.puts, ParseEntries(object, "puts"));
  BOOST_LEAF_ASSIGN(batch.deletes, ParseEntries(object, "deletes"));
  return batch;
}

}  // namespace

Store MakeHttpStore(net::HttpClient& client, std::vector<std::string> addresses,
                    Millis call_timeout) {
  Invariant(!addresses.empty(), "store_has_an_address");
  auto service =
      std::make_shared<Service>(client, std::move(addresses), call_timeout);
  Store store;
  store.get = [service](std::string_view key) { return Get(*service, key); };
  store.list = [service](std::string_view prefix) {
    return List(*service, prefix);
  };
  store.put = [service](std::string_view key, std::string_view value,
                        Revision expected, LeaseId lease) {
    return Put(*service, key, value, expected, lease);
  };
  store.erase = [service](std::string_view key, Revision expected) {
    return Erase(*service, key, expected);
  };
  store.grant_lease = [service](Millis ttl) {
    return GrantLease(*service, ttl);
  };
  store.keep_alive = [service](LeaseId lease) {
    return CallLease(*service, {"POST", LeasePath(lease) + "/keepalive"});
  };
  store.revoke_lease = [service](LeaseId lease) {
    return CallLease(*service, {"DELETE", LeasePath(lease)});
  };
  store.watch = [service](std::string_view prefix, Revision after,
                          Millis wait) {
    return Watch(*service, prefix, after, wait);
  };
  return store;
}

}  // namespace buckthornmux::store
