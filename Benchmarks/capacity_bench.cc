// Measures the slopes for docs/CAPACITY.md: the cost of the control plane for
// each node as the fleet grows, and the cost of a sub-request. It runs real
// node cores over fakes in virtual time. Processor time and memory include
// those of the fakes.
//
//   capacity_bench NODES...

#include <malloc.h>

#include <ctime>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "Fakes/fake_tier.h"
#include "LibBase/log.h"

namespace {

using std::chrono::seconds;

// 9,800 servers with 3 for each service, on 2,000 nodes.
constexpr double kServicesPerNode = 1.63;
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

// Returns the size of the background requests that all nodes together have sent
// so far.
uint64_t TotalBackgroundBytes(fakes::FakeTier& tier) {
  uint64_t bytes = 0;
  for (int node = 0; node < tier.node_count(); ++node)
    bytes += tier.peer_client(node).background_bytes();
  return bytes;
}

struct Cost {
  double processor_us = 0;  // Per node and second.
  // Size of the background requests that are sent, per node and second.
  double background_bytes = 0;
};

// Measures what the tier costs while no queries run.
Cost MeasureControlPlane(fakes::FakeTier& tier) {
  const double processor_before = ProcessorSeconds();
  const auto bytes_before = static_cast<double>(TotalBackgroundBytes(tier));
  tier.clock().RunFor(seconds(kMeasuredSeconds));
  const double node_seconds = tier.node_count() * kMeasuredSeconds;
  return {(ProcessorSeconds() - processor_before) * 1e6 / node_seconds,
          (static_cast<double>(TotalBackgroundBytes(tier)) - bytes_before) /
              node_seconds};
}

// Returns the processor time of a sub-request, without that of the control
// plane.
double SubRequestMicroseconds(fakes::FakeTier& tier, int services) {
  int answered = 0;
  const double queries_begin = ProcessorSeconds();
  for (int i = 0; i < kQueries; ++i) {
    tier.SendRequest(
        i % tier.node_count(), fakes::FakeTier::QueryRequest("party-a", "q"),
        [&](const auto& response) { answered += response ? 1 : 0; });
    tier.clock().RunFor(std::chrono::milliseconds(20));
  }
  const double idle_begin = ProcessorSeconds();
  tier.clock().RunFor(std::chrono::milliseconds(20) * kQueries);
  const double idle = ProcessorSeconds() - idle_begin;
  if (answered < kQueries)
    std::cout << "only " << answered << " queries were answered\n";
  return (idle_begin - queries_begin - idle) * 1e6 / (kQueries * services);
}

// Prints one row of the table.
void MeasureFleet(int nodes) {
  fakes::TierShape shape;
  shape.nodes = nodes;
  shape.services = static_cast<int>(nodes * kServicesPerNode);
  const double heap_before = HeapBytes();
  fakes::FakeTier tier(shape, 1);
  tier.Start();
  tier.clock().RunFor(seconds(6));
  const double node_bytes = (HeapBytes() - heap_before) / nodes;
  const uint64_t reads_before = tier.store().reads;
  const Cost idle = MeasureControlPlane(tier);
  const double reads_per_second =
      static_cast<double>(tier.store().reads - reads_before) / kMeasuredSeconds;
  tier.SetIndex(2, shape.shards_per_service, true);
  const Cost index_change = MeasureControlPlane(tier);
  const double sub_request_us = SubRequestMicroseconds(tier, shape.services);
  std::cout << std::setw(6) << nodes << std::setw(10) << shape.services * 3
            << std::setw(12) << std::setprecision(4) << idle.processor_us
            << std::setw(12) << idle.background_bytes << std::setw(12)
            << index_change.processor_us << std::setw(12)
            << index_change.background_bytes << std::setw(12)
            << node_bytes / 1024 << std::setw(10) << reads_per_second
            << std::setw(12) << sub_request_us << std::endl;
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
