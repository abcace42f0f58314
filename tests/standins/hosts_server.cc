#include "standins/hosts_server.h"

#include <deque>
#include <map>
#include <utility>

#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/store/host_list.h"
#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

namespace json = boost::json;
using net::HttpRequest;
using net::HttpResponse;
using HostMap = std::map<std::string, bool>;  ///< Host to "is leaving".

struct PendingList {
  Time shows_at;
  HostMap hosts;
};

}  // namespace

struct HostsServer::Impl {
  [[nodiscard]] HttpResponse Handle(const HttpRequest& request) {
    while (!pending.empty() && pending.front().shows_at <= SteadyNow()) {
      shown = std::move(pending.front().hosts);
      pending.pop_front();
    }
    if (request.target == "/v1/hosts") {
      return Shown();
    }
    const auto body = ParseObject(request.body);
    if (request.target != "/standin/hosts" || !body) {
      return ErrorAnswerOf(404, "not_found");
    }
    return body->contains("hosts") ? Replace(request.body) : Change(*body);
  }

  [[nodiscard]] HttpResponse Shown() const {
    json::array hosts;
    for (const auto& [host, leaving] : shown) {
      hosts.push_back(json::object{{"host", host},
                                   {"state", leaving ? "leaving" : "live"}});
    }
    return JsonAnswer(200, json::object{{"hosts", std::move(hosts)}});
  }

  HttpResponse Replace(const std::string& body) {
    const auto outcome = Capture([&] { return store::ParseHostList(body); });
    const auto* hosts = std::get_if<std::vector<store::HostState>>(&outcome);
    if (hosts == nullptr) {
      return ErrorAnswerOf(400, "malformed");
    }
    wanted.clear();
    for (const auto& host : *hosts) {
      wanted[host.host] = host.leaving;
    }
    return Schedule();
  }

  HttpResponse Change(const json::object& body) {
    const std::string host = StringAt(body, "host");
    const std::string state = StringAt(body, "state");
    if (state == "gone") {
      wanted.erase(host);
    } else {
      wanted[host] = state == "leaving";
    }
    return Schedule();
  }

  HttpResponse Schedule() {
    pending.push_back({SteadyNow() + lag, wanted});
    return JsonAnswer(200, json::object{{"ok", true}});
  }

  Millis lag{0};
  HostMap wanted;
  HostMap shown;
  std::deque<PendingList> pending;
  std::unique_ptr<net::HttpServer> server;
};

HostsServer::HostsServer(boost::asio::io_context& io,
                         const HostsOptions& options)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->lag = options.lag;
  for (const std::string& host : options.hosts) {
    m_impl->wanted[host] = false;
  }
  m_impl->shown = m_impl->wanted;
  net::HttpServerOptions server_options;
  server_options.address = options.listen;
  m_impl->server = std::make_unique<net::HttpServer>(
      io, server_options,
      [weak = std::weak_ptr(m_impl)](const HttpRequest& request,
                                     const net::Responder& respond) {
        const auto impl = weak.lock();
        respond(impl ? impl->Handle(request) : HttpResponse{.status = 0});
      });
}

HostsServer::~HostsServer() = default;

std::string HostsServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_impl->server->Port());
}

}  // namespace buckthornmux::standins
