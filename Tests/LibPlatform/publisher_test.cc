// Tests races between operators and lost responses of the store.

#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "LibPlatform/manifest_watcher.h"
#include "LibPlatform/publisher.h"

namespace {

using platform::StoredValue;

// A store that can lose the response to the next write of the manifest, and can
// run another write before it.
struct FakeStore {
  std::map<std::string, StoredValue> values;
  uint64_t next_version = 1;
  bool lose_next_response = false;
  std::function<void()> before_manifest_write;

  platform::StoreCalls Calls() {
    return {[this](const std::string& key)
                -> base::Result<std::optional<StoredValue>> {
              const auto found = values.find(key);
              if (found == values.end())
                return std::nullopt;
              return found->second;
            },
            [this](const std::string& key, uint64_t expected,
                   const std::string& value) -> base::Result<uint64_t> {
              const bool is_manifest = key == platform::kManifestKey;
              if (is_manifest && before_manifest_write)
                std::exchange(before_manifest_write, nullptr)();
              StoredValue& stored = values[key];
              if (stored.version != expected)
                return base::Fail(base::ErrorKind::kConflict, "c", "r");
              stored = {value, next_version++};
              if (is_manifest && std::exchange(lose_next_response, false))
                return base::Fail(base::ErrorKind::kTimeout, "lost", "r");
              return stored.version;
            }};
  }
};

config::CollectedConfiguration MakeCollected(const std::string& text) {
  config::CollectedConfiguration collected;
  collected.content = nlohmann::json{{text, 1}}.dump();
  collected.file_digests[text] = text;
  return collected;
}

TEST_CASE("the loser of two concurrent publications learns what changed") {
  FakeStore store;
  store.before_manifest_write = [&] {
    const auto other =
        platform::Publish(MakeCollected("b.json"), "b", store.Calls());
    REQUIRE(other.has_value());
    CHECK(other->revision == 1);
  };
  const auto mine =
      platform::Publish(MakeCollected("a.json"), "a", store.Calls());
  REQUIRE(!mine.has_value());
  CHECK(mine.error().kind() == base::ErrorKind::kConflict);
  CHECK(mine.error().message().find("b.json") != std::string::npos);
}

TEST_CASE("a lost response is resolved by the publication's identifier") {
  FakeStore store;
  store.lose_next_response = true;
  const auto published =
      platform::Publish(MakeCollected("a.json"), "a", store.Calls());
  REQUIRE(published.has_value());
  CHECK(published->revision == 1);
  const auto next =
      platform::Publish(MakeCollected("b.json"), "b", store.Calls());
  REQUIRE(next.has_value());
  CHECK(next->revision == 2);
}

// Nodes that have the lost publication in force would ignore another one of its
// revision.
TEST_CASE("a publication gets no revision that a restored store has lost") {
  FakeStore store;
  REQUIRE(platform::Publish(MakeCollected("a.json"), "a", store.Calls()));
  const auto copy = store.values;
  const auto lost =
      platform::Publish(MakeCollected("b.json"), "b", store.Calls());
  REQUIRE(lost);
  store.values = copy;
  const auto next = platform::Publish(MakeCollected("c.json"), "c",
                                      store.Calls(), lost->revision);
  REQUIRE(next);
  CHECK(next->revision > lost->revision);
  const auto last =
      platform::Publish(MakeCollected("d.json"), "d", store.Calls(), 1);
  REQUIRE(last);
  CHECK(last->revision == next->revision + 1);
}

TEST_CASE("losing to a publication whose response was lost is a conflict") {
  FakeStore store;
  store.before_manifest_write = [&] {
    REQUIRE(platform::Publish(MakeCollected("b.json"), "b", store.Calls()));
  };
  // Publication b writes its manifest first, so it loses its response.
  store.lose_next_response = true;
  const auto mine =
      platform::Publish(MakeCollected("a.json"), "a", store.Calls());
  REQUIRE(!mine.has_value());
  CHECK(mine.error().kind() == base::ErrorKind::kConflict);
}

}  // namespace
