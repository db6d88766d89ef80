// Slopes for docs/CAPACITY.md: what control costs a node as the fleet grows,
// and what a sub-request costs. Real node cores over fakes, in virtual time;
// processor time and memory include the fakes' own.

#include <malloc.h>

#include <ctime>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "Fakes/fake_tier.h"
#include "LibBase/log.h"

namespace {

using std::chrono::seconds;

constexpr double kServicesPerNode =
    1.63;  // 9,800 servers, 3 each, 2,000 nodes.
constexpr int kMeasuredSeconds = 10;
constexpr int kQueries = 100;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

uint64_t GossipBytes(fakes::FakeTier& tier) {
  uint64_t bytes = 0;
  for (int node = 0; node < tier.node_count(); ++node)
    bytes += tier.caller(node).bytes();
  return bytes;
}

struct Cost {
  double processor_us = 0;  // Per node and second.
  double bytes = 0;         // Sent, per node and second.
};

Cost Measure(fakes::FakeTier& tier) {
  const double processor = ProcessorSeconds();
  const auto bytes = static_cast<double>(GossipBytes(tier));
  tier.clock().RunFor(seconds(kMeasuredSeconds));
  const double per = tier.node_count() * kMeasuredSeconds;
  return {(ProcessorSeconds() - processor) * 1e6 / per,
          (static_cast<double>(GossipBytes(tier)) - bytes) / per};
}

double SubRequestMicroseconds(fakes::FakeTier& tier, int services) {
  int answered = 0;
  const double before = ProcessorSeconds();
  for (int i = 0; i < kQueries; ++i) {
    tier.Ask(i % tier.node_count(),
             fakes::FakeTier::QueryRequest("party-a", "q"),
             [&](const auto& response) { answered += response ? 1 : 0; });
    tier.clock().RunFor(std::chrono::milliseconds(20));
  }
  const double idle_before = ProcessorSeconds();
  tier.clock().RunFor(std::chrono::milliseconds(20) * kQueries);
  const double idle = ProcessorSeconds() - idle_before;
  if (answered < kQueries)
    std::cout << "only " << answered << " answered\n";
  return (idle_before - before - idle) * 1e6 / (kQueries * services);
}

void MeasureFleet(int nodes) {
  fakes::TierShape shape;
  shape.nodes = nodes;
  shape.services = static_cast<int>(nodes * kServicesPerNode);
  const double heap = HeapBytes();
  fakes::FakeTier tier(shape, 1);
  tier.Start();
  tier.clock().RunFor(seconds(6));
  const double memory = (HeapBytes() - heap) / nodes;
  const uint64_t reads = tier.store().reads;
  const Cost idle = Measure(tier);
  const double store_reads =
      static_cast<double>(tier.store().reads - reads) / kMeasuredSeconds;
  tier.SetIndex(2, shape.shards_per_service, true);
  const Cost change = Measure(tier);
  const double sub_request = SubRequestMicroseconds(tier, shape.services);
  std::cout << std::setw(6) << nodes << std::setw(10) << shape.services * 3
            << std::setw(12) << std::setprecision(4) << idle.processor_us
            << std::setw(12) << idle.bytes << std::setw(12)
            << change.processor_us << std::setw(12) << change.bytes
            << std::setw(12) << memory / 1024 << std::setw(10) << store_reads
            << std::setw(12) << sub_request << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  base::DisableLog();
  std::cout
      << " nodes   servers     idle us      idle B   change us    change B"
         "  memory KiB  reads/s   sub-req us\n";
  for (int i = 1; i < argc; ++i)
    MeasureFleet(std::stoi(argv[i]));
  return 0;
}
