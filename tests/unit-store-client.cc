// Client of the key-value service against its stand-in: conflicts, outages,
// rate limits, lost answers of applied writes, leases, watches, compaction and
// paging.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/store/host_list.h"
#include "buckthornmux/detail/store/http_store.h"
#include "standins/hosts_server.h"
#include "standins/io_thread.h"
#include "standins/kv_server.h"

namespace buckthornmux::store {
namespace {

using standins::HostsOptions;
using standins::HostsServer;
using standins::IoThread;
using standins::KvOptions;
using standins::KvServer;

constexpr Millis kCallTimeout{1000};

/// Error kind of a failed call; fails the test if the call succeeds.
template <class F>
ErrorKind KindOf(F&& call) {
  const auto outcome = Capture(std::forward<F>(call));
  const auto* error = std::get_if<Error>(&outcome);
  CPPUNIT_ASSERT(error != nullptr);
  return error->kind;
}

struct Fixture {
  IoThread server_io;
  IoThread client_io;
  KvServer server;
  net::HttpClient client;
  Store store;

  explicit Fixture(const KvOptions& options = {})
      : server(server_io.io, options),
        client(client_io.io, {}),
        store(MakeHttpStore(client, {server.Address()}, kCallTimeout)) {}

  void SetFaults(const std::string& body) {
    const auto outcome = client.CallAndWait(
        server.Address(), {"POST", "/standin/faults", body}, kCallTimeout);
    CPPUNIT_ASSERT(std::holds_alternative<net::HttpResponse>(outcome));
  }
};

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(ComparesAndSwaps);
  CPPUNIT_TEST(LostAnswerIsUnknownAndReadBack);
  CPPUNIT_TEST(OutageIsReportedAsError);
  CPPUNIT_TEST(RateLimitedWriteHasNoEffect);
  CPPUNIT_TEST(LeaseExpiryDeletesKeysAndIsWatched);
  CPPUNIT_TEST(CompactedWatchIsReported);
  CPPUNIT_TEST(ListsMoreThanOnePage);
  CPPUNIT_TEST(FailsOverToTheNextAddress);
  CPPUNIT_TEST(HostListMayLagAndIsValidated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ComparesAndSwaps() {
    Fixture f;
    const Revision first = f.store.put("a/k y", "1", kAbsent, kNoLease).value();
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("a/k y", "2", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreConflict);
    CPPUNIT_ASSERT(f.store.put("a/k y", "2", first, kNoLease).value() > first);
    CPPUNIT_ASSERT(KindOf([&] { return f.store.erase("a/k y", first); }) ==
                   ErrorKind::kStoreConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), f.store.get("a/k y").value()->value);
    CPPUNIT_ASSERT(!f.store.get("a/other").value());
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("big", std::string(1 << 21, 'x'),
                                        kAbsent, kNoLease);
                   }) == ErrorKind::kTooLarge);
  }

  void LostAnswerIsUnknownAndReadBack() {
    Fixture f;
    f.SetFaults(R"({"lose_answer_every":1})");
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("k", "v", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("v"), f.store.get("k").value()->value);
    f.SetFaults(R"({"lose_answer_every":0,"fail_write_every":1})");
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("n", "v", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreUnknown);
    CPPUNIT_ASSERT(!f.store.get("n").value());
  }

  void OutageIsReportedAsError() {
    Fixture f;
    f.SetFaults(R"({"away":true})");
    CPPUNIT_ASSERT(KindOf([&] { return f.store.get("k"); }) ==
                   ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("k", "v", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreUnknown);
    f.SetFaults(R"({"away":false,"busy":true})");
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("k", "v", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreUnavailable);
    f.SetFaults(R"({"busy":false})");
    CPPUNIT_ASSERT(!f.store.get("k").value());
    const Store nobody = MakeHttpStore(f.client, {"127.0.0.1:1"}, kCallTimeout);
    CPPUNIT_ASSERT(KindOf([&] {
                     return nobody.put("k", "v", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreUnavailable);
  }

  void RateLimitedWriteHasNoEffect() {
    KvOptions options;
    options.limits.writes_per_second = 1;
    Fixture f(options);
    f.store.put("first", "v", kAbsent, kNoLease).value();
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("second", "v", kAbsent, kNoLease);
                   }) == ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT(!f.store.get("second").value());
  }

  void LeaseExpiryDeletesKeysAndIsWatched() {
    Fixture f;
    const LeaseId lease = f.store.grant_lease(Millis(200)).value();
    CPPUNIT_ASSERT_EQUAL(lease, f.store.keep_alive(lease).value());
    const Revision put = f.store.put("m/a", "v", kAbsent, lease).value();
    const WatchBatch batch = f.store.watch("m/", put, Millis(5000)).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.deletes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("m/a"), batch.deletes.front().key);
    CPPUNIT_ASSERT(KindOf([&] { return f.store.keep_alive(lease); }) ==
                   ErrorKind::kNotFound);
    CPPUNIT_ASSERT(KindOf([&] {
                     return f.store.put("m/b", "v", kAbsent, lease);
                   }) == ErrorKind::kNotFound);
  }

  void CompactedWatchIsReported() {
    KvOptions options;
    options.limits.history = 2;
    Fixture f(options);
    const Revision first = f.store.put("p/1", "v", kAbsent, kNoLease).value();
    for (const char* key : {"p/2", "p/3", "p/4"}) {
      f.store.put(key, "v", kAbsent, kNoLease).value();
    }
    const WatchBatch missed = f.store.watch("p/", first, Millis(0)).value();
    CPPUNIT_ASSERT(missed.compacted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.store.list("p/").value().size());
    f.store.put("p/5", "v", kAbsent, kNoLease).value();
    const WatchBatch next =
        f.store.watch("p/", missed.revision, Millis(0)).value();
    CPPUNIT_ASSERT(!next.compacted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.puts.size());
  }

  void ListsMoreThanOnePage() {
    Fixture f;
    const std::string value(900'000, 'x');
    for (int i = 0; i < 10; ++i) {
      f.store.put("big/" + std::to_string(i), value, kAbsent, kNoLease).value();
    }
    const auto entries = f.store.list("big/").value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("big/9"), entries.back().key);
  }

  void FailsOverToTheNextAddress() {
    Fixture f;
    const Store store = MakeHttpStore(
        f.client, {"127.0.0.1:1", f.server.Address()}, kCallTimeout);
    CPPUNIT_ASSERT(KindOf([&] { return store.get("k"); }) ==
                   ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT(!store.get("k").value());
  }

  void HostListMayLagAndIsValidated() {
    Fixture f;
    HostsOptions options;
    options.hosts = {"h1"};
    options.lag = Millis(60'000);
    const HostsServer lagging(f.server_io.io, options);
    options.lag = Millis(0);
    const HostsServer prompt(f.server_io.io, options);
    for (const auto& address : {lagging.Address(), prompt.Address()}) {
      (void)f.client.CallAndWait(
          address,
          {"POST", "/standin/hosts", R"({"host":"h1","state":"leaving"})"},
          kCallTimeout);
    }
    const std::vector<HostState> live{{"h1", false}};
    const std::vector<HostState> leaving{{"h1", true}};
    CPPUNIT_ASSERT(
        FetchHostList(f.client, lagging.Address(), kCallTimeout).value() ==
        live);
    CPPUNIT_ASSERT(
        FetchHostList(f.client, prompt.Address(), kCallTimeout).value() ==
        leaving);
    CPPUNIT_ASSERT(KindOf([&] { return ParseHostList(R"({"hosts":[1]})"); }) ==
                   ErrorKind::kMalformed);
    CPPUNIT_ASSERT(KindOf([&] {
                     return FetchHostList(f.client, f.server.Address(),
                                          kCallTimeout);
                   }) == ErrorKind::kStoreUnavailable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

}  // namespace
}  // namespace buckthornmux::store
