// Tells the kinds of gossip messages apart by what they hold.

#include "LibNode/metered_gossip.h"

#include <numeric>
#include <sstream>
#include <utility>

namespace node {

using membership::GossipMessage;

namespace {

// Without the fields' pointers and padding on the wire.
uint64_t SizeInBytes(const GossipMessage& message) {
  return std::accumulate(
      message.facts.begin(), message.facts.end(),
      sizeof(uint64_t) *
              (message.bucket_hashes.size() + message.part_hashes.size() +
               message.wanted_facts.size()) +
          sizeof(uint32_t) *
              (message.wanted_buckets.size() + message.known_facts.size()) +
          sizeof(uint16_t) * message.compared_parts.size() +
          sizeof(membership::FactSummary) * message.summaries.size(),
      [](uint64_t sum, const membership::Fact& fact) {
        return sum + fact.key.size() + fact.value.size() + sizeof(fact.version);
      });
}

}  // namespace

void MeteredGossip::Gossip(const std::string& peer_address,
                           GossipMessage message,
                           base::Duration timeout,
                           GossipCallback callback) {
  std::string_view kind = "rumours";
  if (message.bucket_hashes.size() == membership::kFactBucketCount)
    kind = "comparison";
  else if (!message.compared_parts.empty())
    kind = "fact_comparison";
  else if (!message.wanted_facts.empty())
    kind = "push";
  Count(kind, message);
  transport_.Gossip(peer_address, std::move(message), timeout,
                    [this, kind, callback = std::move(callback)](auto reply) {
                      const auto span = work_meter_.Measure("gossip_reply");
                      if (reply)
                        Count(kind, *reply);
                      callback(std::move(reply));
                    });
}

void MeteredGossip::Count(std::string_view kind, const GossipMessage& message) {
  const uint64_t bytes = SizeInBytes(message);
  const std::string labels = "kind=\"" + std::string(kind) + "\"";
  metrics_.Increment("celerycroft_gossip_messages_total", labels);
  metrics_.Increment("celerycroft_gossip_bytes_total", labels,
                     static_cast<double>(bytes));
  const std::lock_guard lock(mutex_);
  Total& total = totals_[kind];
  ++total.messages;
  total.bytes += bytes;
}

std::string MeteredGossip::TakeSummary() {
  std::map<std::string_view, Total> totals;
  {
    const std::lock_guard lock(mutex_);
    totals.swap(totals_);
  }
  std::ostringstream text;
  for (const auto& [kind, total] : totals)
    text << (text.tellp() > 0 ? ", " : "") << kind << " " << total.bytes
         << " B (" << total.messages << ")";
  return text.str();
}

}  // namespace node
