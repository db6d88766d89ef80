// Publication writes the content under its digest, then swaps the manifest.

#include "LibPlatform/publisher.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "LibBase/digest.h"
#include "LibPlatform/manifest_watcher.h"

namespace platform {

using base::ErrorKind;
using nlohmann::json;

namespace {

constexpr int kMaxReadBackAttempts = 5;

struct StoredManifest {
  config::Manifest manifest;  // Has revision 0 if none is stored.
  uint64_t version = kAbsent;
};

base::Result<StoredManifest> ReadStoredManifest(const StoreCalls& store) {
  const auto read = TRY(store.get(std::string(kManifestKey)));
  if (!read)
    return StoredManifest{};
  return StoredManifest{TRY(config::ParseManifest(read->value)), read->version};
}

// Returns the names of the files that differ from the stored configuration.
std::string Summarize(const config::CollectedConfiguration& collected,
                      const StoredManifest& stored,
                      const StoreCalls& store) {
  const auto read =
      store.get(std::string(kContentPrefix) + stored.manifest.content_digest);
  json stored_files = json::object();
  if (read && *read)
    stored_files = json::parse((*read)->value, nullptr, false);
  std::string summary;
  for (const auto& [name, digest] : collected.file_digests) {
    const bool is_unchanged =
        stored_files.is_object() && stored_files.contains(name) &&
        base::Sha256Hex(stored_files[name].dump()) == digest;
    if (!is_unchanged)
      summary += (summary.empty() ? "" : ", ") + name;
  }
  return summary.empty() ? "no file" : summary;
}

base::Result<void> WriteContent(const std::string& key,
                                const std::string& content,
                                const StoreCalls& store) {
  const auto written = store.compare_and_swap(key, kAbsent, content);
  if (written || written.error().kind() == ErrorKind::kConflict)
    return {};
  // The write may have succeeded although its response was lost. Content is
  // stored under its digest, so it is the same whoever wrote it.
  const auto read = TRY(store.get(key));
  if (read && read->value == content)
    return {};
  return tl::make_unexpected(written.error());
}

// Reads the manifest back to find out whether a write that failed with
// `write_error` took effect.
base::Result<config::Manifest> ResolveFailedWrite(
    const config::Manifest& manifest,
    const base::Error& write_error,
    const StoreCalls& store) {
  for (int i = 0; i < kMaxReadBackAttempts; ++i) {
    const auto stored = ReadStoredManifest(store);
    if (!stored)
      continue;
    if (stored->manifest.publication_id == manifest.publication_id)
      return manifest;
    if (stored->manifest.revision >= manifest.revision)
      return base::Fail(ErrorKind::kConflict,
                        "revision " +
                            std::to_string(stored->manifest.revision) +
                            " was published in the meantime and changed " +
                            stored->manifest.summary,
                        "review that change, then publish again");
    return tl::make_unexpected(write_error);
  }
  return base::Fail(ErrorKind::kUnavailable,
                    "it is not known whether revision " +
                        std::to_string(manifest.revision) + " was published",
                    "check the status of the nodes once the key-value "
                    "service answers");
}

}  // namespace

base::Result<config::Manifest> Publish(
    const config::CollectedConfiguration& collected,
    const std::string& publication_id,
    const StoreCalls& store,
    uint64_t revision_in_force) {
  const StoredManifest stored = TRY(ReadStoredManifest(store));
  config::Manifest manifest;
  manifest.revision = std::max(stored.manifest.revision, revision_in_force) + 1;
  manifest.publication_id = publication_id;
  manifest.content_digest = base::Sha256Hex(collected.content);
  manifest.summary = Summarize(collected, stored, store);
  TRY_VOID(WriteContent(std::string(kContentPrefix) + manifest.content_digest,
                        collected.content, store));
  const auto written =
      store.compare_and_swap(std::string(kManifestKey), stored.version,
                             config::SerializeManifest(manifest));
  if (written)
    return manifest;
  return ResolveFailedWrite(manifest, written.error(), store);
}

}  // namespace platform
