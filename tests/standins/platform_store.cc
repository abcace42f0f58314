#include "standins/platform_store.h"

#include <openssl/evp.h>

#include <boost/json.hpp>
#include <charconv>
#include <utility>
#include <vector>

#include "buckthornmux/detail/net/url.h"
#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

namespace json = boost::json;

constexpr std::size_t kPageBytes = 1 << 20;
constexpr std::string_view kKeep = "/buckthornmux/kv-keep/";
constexpr std::string_view kLeaseEnd = "/buckthornmux/kv-lease-end/";

std::string ToBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  auto length = static_cast<std::size_t>(std::max(size, 0));
  for (std::size_t i = text.size(); i > 0 && text[i - 1] == '='; --i) {
    --length;
  }
  bytes.resize(length);
  return bytes;
}

json::object ItemJson(const store::Entry& entry) {
  return {{"key", entry.key},
          {"value", ToBase64(entry.value)},
          {"revision", entry.revision}};
}

std::uint64_t NumberBehind(std::string_view path, std::string_view prefix) {
  std::uint64_t number = 0;
  const std::string_view digits = path.substr(prefix.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

net::HttpServerOptions ServerOptions(const std::string& address) {
  net::HttpServerOptions options;
  options.address = address;
  options.max_body_bytes = 4 << 20;
  return options;
}

}  // namespace

PlatformStore::PlatformStore(boost::asio::io_context& io,
                             const std::string& address)
    : m_server(
          io, ServerOptions(address),
          [this](const net::HttpRequest& request,
                 const net::Responder& respond) { Take(request, respond); }) {}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  const auto found = m_state.keys.find(key);
  const Revision expected =
      found == m_state.keys.end() ? 0 : found->second.revision;
  if (standins::Put(m_state, key, value, expected, store::kNoLease) ==
      WriteEnd::kDone) {
    WakeWatches(SteadyNow());
  }
}

void PlatformStore::Erase(const std::string& key) {
  const auto found = m_state.keys.find(key);
  if (found != m_state.keys.end() &&
      standins::Erase(m_state, key, found->second.revision) ==
          WriteEnd::kDone) {
    WakeWatches(SteadyNow());
  }
}

void PlatformStore::Take(const net::HttpRequest& request,
                         const net::Responder& respond) {
  ++m_calls;
  if (m_away) {
    respond(ErrorAnswerOf(503, "away"));
    return;
  }
  if (!Lose(request, respond)) {
    Serve(request, respond);
  }
}

bool PlatformStore::Lose(const net::HttpRequest& request,
                         const net::Responder& respond) {
  const std::string_view target = request.target;
  const bool write = target.starts_with("/buckthornmux/kv-txn") ||
                     target.starts_with("/buckthornmux/kv-lease") ||
                     target.starts_with(kKeep);
  std::uniform_real_distribution<double> part(0, 1);
  if (!write || m_lost_share <= 0 || part(m_random) >= m_lost_share) {
    return false;
  }
  constexpr double kLongestDelay = 3000;
  const bool at_once = part(m_random) < 0.5;
  const Millis delay(
      at_once ? 0 : static_cast<std::int64_t>(part(m_random) * kLongestDelay));
  m_lost.push_back({SteadyNow() + delay, request, respond});
  return true;
}

void PlatformStore::Serve(const net::HttpRequest& request,
                          const net::Responder& respond) {
  const auto parsed = Capture([&] { return net::ParseTarget(request.target); });
  const auto* target = std::get_if<net::RequestTarget>(&parsed);
  if (target == nullptr) {
    respond(ErrorAnswerOf(400, "target"));
    return;
  }
  const std::string& path = target->path;
  const Time now = SteadyNow();
  if (path == "/buckthornmux/kv-key") {
    respond(Item(target->Param("key")));
  } else if (path == "/buckthornmux/kv-range") {
    respond(Range(target->Param("prefix"), target->Param("after")));
  } else if (path == "/buckthornmux/kv-watch") {
    Watch(std::string(target->Param("prefix")), target->Number("after", 0),
          Millis(static_cast<std::int64_t>(target->Number("wait_ms", 0))),
          respond);
  } else if (path == "/buckthornmux/kv-txn") {
    respond(Commit(request.body));
    WakeWatches(now);
  } else if (path == "/buckthornmux/kv-lease") {
    const auto body = ParseObject(request.body);
    const Millis ttl(body ? IntegerAt(*body, "ttl_ms", 0) : 0);
    respond(JsonAnswer(200, json::object{{"lease", Grant(m_state, ttl, now)},
                                         {"ttl_ms", ttl.count()}}));
  } else if (path.starts_with(kKeep)) {
    const bool kept = KeepAlive(m_state, NumberBehind(path, kKeep), now);
    respond(JsonAnswer(kept ? 200 : 404, json::object{}));
  } else if (path.starts_with(kLeaseEnd)) {
    const bool ended = Revoke(m_state, NumberBehind(path, kLeaseEnd));
    respond(JsonAnswer(ended ? 200 : 404, json::object{}));
    WakeWatches(now);
  } else {
    respond(ErrorAnswerOf(404, "path"));
  }
}

net::HttpResponse PlatformStore::Item(std::string_view key) const {
  const auto found = m_state.keys.find(key);
  if (found == m_state.keys.end()) {
    return JsonAnswer(404, json::object{{"current_rev", m_state.revision}});
  }
  return JsonAnswer(200, ItemJson({std::string(key), found->second.value,
                                   found->second.revision}));
}

net::HttpResponse PlatformStore::Range(std::string_view prefix,
                                       std::string_view after) const {
  const KvPage page = List(m_state, prefix, after, 0, kPageBytes);
  json::array items;
  for (const store::Entry& entry : page.entries) {
    items.push_back(ItemJson(entry));
  }
  return JsonAnswer(200, json::object{{"items", std::move(items)},
                                      {"has_more", page.more},
                                      {"current_rev", m_state.revision}});
}

/// All or nothing; all writes of one transaction share a revision.
net::HttpResponse PlatformStore::Commit(const std::string& text) {
  const auto body = ParseObject(text);
  if (!body) {
    return ErrorAnswerOf(400, "body");
  }
  json::array current;
  bool holds = true;
  for (const auto& row : body->at("precondition").as_array()) {
    const std::string key = StringAt(row.as_object(), "key");
    const auto wanted =
        static_cast<Revision>(IntegerAt(row.as_object(), "revision", 0));
    const auto found = m_state.keys.find(key);
    const Revision there =
        found == m_state.keys.end() ? 0 : found->second.revision;
    holds = holds && there == wanted;
    if (there > 0) {
      current.push_back(ItemJson({key, found->second.value, there}));
    }
  }
  if (!holds) {
    return JsonAnswer(412, json::object{{"items", std::move(current)}});
  }
  const Revision revision = m_state.revision + 1;
  for (const auto& row : body->at("writes").as_array()) {
    const json::object& write = row.as_object();
    const std::string key = StringAt(write, "key");
    const auto found = m_state.keys.find(key);
    const Revision expected =
        found == m_state.keys.end() ? 0 : found->second.revision;
    const auto lease =
        static_cast<store::LeaseId>(IntegerAt(write, "lease", 0));
    if (standins::Put(m_state, key, FromBase64(StringAt(write, "value")),
                      expected, lease) == WriteEnd::kNoLease) {
      return ErrorAnswerOf(404, "lease");
    }
    m_state.keys[key].revision = revision;
    m_state.history.back().entry.revision = revision;
  }
  for (const auto& row : body->at("deletes").as_array()) {
    const std::string key(row.as_string());
    const auto found = m_state.keys.find(key);
    if (found != m_state.keys.end()) {
      static_cast<void>(standins::Erase(m_state, key, found->second.revision));
      m_state.history.back().entry.revision = revision;
    }
  }
  m_state.revision = revision;
  return JsonAnswer(200, json::object{{"revision", revision}});
}

void PlatformStore::Watch(std::string prefix, Revision after, Millis wait,
                          const net::Responder& respond) {
  m_waiting.push_back({std::move(prefix), after, SteadyNow() + wait, respond});
  WakeWatches(SteadyNow());
}

void PlatformStore::WakeWatches(Time now) {
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const store::WatchBatch batch =
        ChangesAfter(m_state, it->prefix, it->after);
    if (batch.puts.empty() && batch.deletes.empty() && now < it->until) {
      ++it;
      continue;
    }
    json::array events;
    for (const store::Entry& entry : batch.puts) {
      events.push_back(ItemJson(entry));
    }
    for (const store::Entry& entry : batch.deletes) {
      events.push_back(json::object{
          {"key", entry.key}, {"revision", entry.revision}, {"deleted", true}});
    }
    it->respond(JsonAnswer(batch.compacted ? 410 : 200,
                           json::object{{"events", std::move(events)},
                                        {"current_rev", m_state.revision}}));
    it = m_waiting.erase(it);
  }
}

void PlatformStore::Tick(Time now) {
  ExpireLeases(m_state, now);
  constexpr Time kDone = Time::max();
  for (Lost& lost : m_lost) {
    if (now >= lost.due) {
      lost.due = kDone;
      Serve(lost.request, [](const net::HttpResponse&) {});
    }
  }
  WakeWatches(now);
}

}  // namespace buckthornmux::standins
