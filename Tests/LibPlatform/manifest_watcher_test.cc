// Tests that the manifest watcher follows a key-value service that comes back
// from an older copy of its contents.

#include "LibPlatform/manifest_watcher.h"

#include <doctest/doctest.h>

#include "Fakes/fake_network.h"
#include "Fakes/virtual_scheduler.h"
#include "LibBase/digest.h"
#include "LibBase/log.h"

namespace platform {
namespace {

constexpr char kContent[] = "content";
// Writes of another key, whose versions are lost.
constexpr int kLostWrites = 30;

class FixedContentSource final : public ContentSource {
 public:
  void Fetch(const std::string&, Callback callback) override {
    callback(kContent);
  }
};

config::ParsedConfiguration ParseAny(std::string_view, uint64_t revision) {
  config::ParsedConfiguration parsed;
  parsed.configuration.revision = revision;
  return parsed;
}

void PutManifest(fakes::FakeKeyValueStoreState& store, uint64_t revision) {
  config::Manifest manifest;
  manifest.revision = revision;
  manifest.publication_id = "p" + std::to_string(revision);
  manifest.content_digest = base::Sha256Hex(kContent);
  manifest.summary = "one file";
  store.values[std::string(kManifestKey)] = {
      config::SerializeManifest(manifest), store.next_version++};
}

TEST_CASE("a restored service hides no manifest with a lower version") {
  base::DisableLog();
  fakes::VirtualScheduler clock;
  fakes::FakeNetwork network(clock);
  fakes::FakeKeyValueStoreState state;
  fakes::FakeKeyValueStore store(state, network, "n1", clock);
  FixedContentSource source;
  const auto controller = ConfigurationController::Create({&source}, ParseAny);
  const auto watcher = ManifestWatcher::Create({}, clock, store, controller,
                                               [] { return true; });
  PutManifest(state, 1);
  const auto copied_values = state.values;
  const uint64_t copied_version = state.next_version;
  state.next_version += kLostWrites;
  PutManifest(state, 2);
  watcher->Start();
  clock.RunFor(std::chrono::seconds(10));
  REQUIRE(controller->Current()->revision == 2);
  state.values = copied_values;
  state.next_version = copied_version;
  // The watch that is waiting ends within its wait.
  clock.RunFor(std::chrono::seconds(6));
  CHECK(controller->Current()->revision == 2);
  PutManifest(state, 3);
  clock.RunFor(std::chrono::seconds(1));
  CHECK(controller->Current()->revision == 3);
  watcher->Stop();
}

}  // namespace
}  // namespace platform
