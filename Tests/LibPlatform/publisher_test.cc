// Publications: races of operators and lost answers.

#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "LibPlatform/manifest_watcher.h"
#include "LibPlatform/publisher.h"

namespace {

using platform::StoredValue;

// A store whose next write may lose its answer, or be preceded by another's.
struct Store {
  std::map<std::string, StoredValue> values;
  uint64_t next_version = 1;
  bool lose_answer = false;
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
              if (is_manifest && std::exchange(lose_answer, false))
                return base::Fail(base::ErrorKind::kTimeout, "lost", "r");
              return stored.version;
            }};
  }
};

config::CollectedConfiguration Collected(const std::string& text) {
  config::CollectedConfiguration collected;
  collected.content = nlohmann::json{{text, 1}}.dump();
  collected.file_digests[text] = text;
  return collected;
}

TEST_CASE("of two operators one wins and the other learns what changed") {
  Store store;
  store.before_manifest_write = [&] {
    const auto other =
        platform::Publish(Collected("b.json"), "b", store.Calls());
    REQUIRE(other.has_value());
    CHECK(other->revision == 1);
  };
  const auto mine = platform::Publish(Collected("a.json"), "a", store.Calls());
  REQUIRE(!mine.has_value());
  CHECK(mine.error().kind() == base::ErrorKind::kConflict);
  CHECK(mine.error().message().find("b.json") != std::string::npos);
}

TEST_CASE("a lost answer is resolved by the publication's identifier") {
  Store store;
  store.lose_answer = true;
  const auto published =
      platform::Publish(Collected("a.json"), "a", store.Calls());
  REQUIRE(published.has_value());
  CHECK(published->revision == 1);
  const auto next = platform::Publish(Collected("b.json"), "b", store.Calls());
  REQUIRE(next.has_value());
  CHECK(next->revision == 2);
}

TEST_CASE("a lost answer to a lost race is a conflict") {
  Store store;
  store.before_manifest_write = [&] {
    REQUIRE(platform::Publish(Collected("b.json"), "b", store.Calls()));
  };
  store.lose_answer = true;  // Of b, whose write came first.
  const auto mine = platform::Publish(Collected("a.json"), "a", store.Calls());
  REQUIRE(!mine.has_value());
  CHECK(mine.error().kind() == base::ErrorKind::kConflict);
}

}  // namespace
