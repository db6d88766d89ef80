// The steps of a publication.

#include "LibPlatform/publisher.h"

#include <nlohmann/json.hpp>

#include "LibBase/digest.h"
#include "LibPlatform/manifest_watcher.h"

namespace platform {

using base::ErrorKind;
using nlohmann::json;

namespace {

constexpr int kReadBackTries = 5;

struct Present {
  config::Manifest manifest;  // Revision 0 if none is stored.
  uint64_t version = kAbsent;
};

base::Result<Present> ReadPresent(const StoreCalls& store) {
  const auto read = TRY(store.get(std::string(kManifestKey)));
  if (!read)
    return Present{};
  return Present{TRY(config::ParseManifest(read->value)), read->version};
}

// The files that differ from the stored configuration.
std::string Summarize(const config::CollectedConfiguration& collected,
                      const Present& present,
                      const StoreCalls& store) {
  const auto read =
      store.get(std::string(kContentPrefix) + present.manifest.content_digest);
  json before = json::object();
  if (read && *read)
    before = json::parse((*read)->value, nullptr, false);
  std::string summary;
  for (const auto& [name, digest] : collected.file_digests) {
    const bool same = before.is_object() && before.contains(name) &&
                      base::Sha256Hex(before[name].dump()) == digest;
    if (!same)
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
  // The answer may be lost; content under its digest is the same whoever
  // wrote it.
  const auto read = TRY(store.get(key));
  if (read && read->value == content)
    return {};
  return tl::make_unexpected(written.error());
}

base::Result<config::Manifest> ResolveWrite(const config::Manifest& manifest,
                                            const base::Error& failure,
                                            const StoreCalls& store) {
  for (int i = 0; i < kReadBackTries; ++i) {
    const auto present = ReadPresent(store);
    if (!present)
      continue;
    if (present->manifest.publication_id == manifest.publication_id)
      return manifest;
    if (present->manifest.revision >= manifest.revision)
      return base::Fail(ErrorKind::kConflict,
                        "revision " +
                            std::to_string(present->manifest.revision) +
                            " was published meanwhile and changed " +
                            present->manifest.summary,
                        "look at that change, then publish again");
    return tl::make_unexpected(failure);
  }
  return base::Fail(ErrorKind::kUnavailable,
                    "it is not known whether revision " +
                        std::to_string(manifest.revision) + " was published",
                    "ask the nodes for their status once the key-value "
                    "service answers");
}

}  // namespace

base::Result<config::Manifest> Publish(
    const config::CollectedConfiguration& collected,
    const std::string& publication_id,
    const StoreCalls& store) {
  const Present present = TRY(ReadPresent(store));
  config::Manifest manifest;
  manifest.revision = present.manifest.revision + 1;
  manifest.publication_id = publication_id;
  manifest.content_digest = base::Sha256Hex(collected.content);
  manifest.summary = Summarize(collected, present, store);
  TRY_VOID(WriteContent(std::string(kContentPrefix) + manifest.content_digest,
                        collected.content, store));
  const auto written =
      store.compare_and_swap(std::string(kManifestKey), present.version,
                             config::SerializeManifest(manifest));
  if (written)
    return manifest;
  return ResolveWrite(manifest, written.error(), store);
}

}  // namespace platform
