// Tests retries of content that no source had, and lower revisions.

#include "LibPlatform/configuration_controller.h"

#include <doctest/doctest.h>

#include "LibBase/digest.h"
#include "LibBase/log.h"

namespace platform {
namespace {

// A source without content until the test sets it.
class FakeContentSource final : public ContentSource {
 public:
  void Fetch(const std::string&, Callback callback) override {
    ++fetch_count;
    if (content.empty())
      callback(base::Fail(base::ErrorKind::kNotFound, "not here", "ask again"));
    else
      callback(content);
  }

  std::string content;
  int fetch_count = 0;
};

config::ParsedConfiguration ParseAny(std::string_view, uint64_t revision) {
  config::ParsedConfiguration parsed;
  parsed.configuration.revision = revision;
  return parsed;
}

config::Manifest MakeManifest(uint64_t revision, const std::string& content) {
  config::Manifest manifest;
  manifest.revision = revision;
  manifest.content_digest = base::Sha256Hex(content);
  return manifest;
}

TEST_CASE("content that was missing is fetched again") {
  base::DisableLog();
  FakeContentSource source;
  const auto controller = ConfigurationController::Create({&source}, ParseAny);
  controller->OnManifest(MakeManifest(7, "text"));
  CHECK(controller->Current()->revision == 0);
  controller->RetryMissingContent();
  CHECK(source.fetch_count == 2);
  source.content = "text";
  controller->RetryMissingContent();
  CHECK(controller->Current()->revision == 7);
  controller->RetryMissingContent();
  CHECK(source.fetch_count == 3);
}

TEST_CASE("a lower revision never takes effect") {
  base::DisableLog();
  FakeContentSource source;
  const auto controller = ConfigurationController::Create({&source}, ParseAny);
  controller->InstallIfNewer(MakeManifest(7, "new"), "new",
                             ParseAny("new", 7).configuration);
  source.content = "old";
  controller->OnManifest(MakeManifest(6, "old"));
  controller->InstallIfNewer(MakeManifest(6, "old"), "old",
                             ParseAny("old", 6).configuration);
  CHECK(controller->Current()->revision == 7);
  CHECK(source.fetch_count == 0);
}

}  // namespace
}  // namespace platform
