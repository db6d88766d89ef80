// Sends each probe on a connection of its own.

#include "prober.h"

#include <utility>

#include "LibHttp/client.h"
#include "client.h"
#include "scenario.h"
#include "wire.h"

namespace soak {

namespace {

constexpr base::Duration kProbePeriod = std::chrono::milliseconds(50);
constexpr base::Duration kProbeTimeout = std::chrono::seconds(2);

}  // namespace

Prober::Prober(boost::asio::io_context& io,
               std::vector<std::string> addresses,
               const std::atomic<uint64_t>& version,
               Recorder& recorder)
    : io_(io),
      scheduler_(io),
      addresses_(std::move(addresses)),
      version_(version),
      recorder_(recorder) {}

void Prober::Start() {
  if (is_stopped_)
    return;
  const uint64_t version = version_;
  for (const std::string& address : addresses_) {
    Probe(address, version);
    if (version > 1)
      Probe(address, version - 1);
  }
  scheduler_.After(kProbePeriod, [this] { Start(); });
}

void Prober::Probe(const std::string& address, uint64_t version) {
  ConfigurationProbe probe;
  probe.address = address;
  probe.version = version;
  probe.sent = scheduler_.Now();
  http::ExchangeOnce(
      io_, address,
      {"GET",
       VersionPathPrefix(version) + "x",
       {{"Host", kRequestHost},
        {platform::wire::kRequestId, "probe" + std::to_string(next_probe_++)},
        {platform::wire::kDeadlineMs, "2000"}},
       ""},
      kProbeTimeout, [this, probe](http::ExchangeResult result) mutable {
        probe.ended = scheduler_.Now();
        probe.status = result ? result->status : 0;
        recorder_.Add(std::move(probe));
      });
}

}  // namespace soak
