// Fetches configurations, checks them and puts them in force.

#include "LibPlatform/configuration_controller.h"

#include <utility>

#include "LibBase/digest.h"
#include "LibBase/log.h"

namespace platform {

std::shared_ptr<ConfigurationController> ConfigurationController::Create(
    std::vector<ContentSource*> sources,
    Parser parse) {
  return std::shared_ptr<ConfigurationController>(
      new ConfigurationController(std::move(sources), std::move(parse)));
}

ConfigurationController::ConfigurationController(
    std::vector<ContentSource*> sources,
    Parser parse)
    : sources_(std::move(sources)),
      parse_(std::move(parse)),
      current_(std::make_shared<config::Configuration>()) {}

void ConfigurationController::AddListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

config::ConfigurationPtr ConfigurationController::Current() {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::optional<config::Manifest> ConfigurationController::CurrentManifest() {
  const std::lock_guard lock(mutex_);
  return manifest_;
}

std::optional<std::string> ConfigurationController::ContentOf(
    const std::string& digest) {
  const std::lock_guard lock(mutex_);
  if (!manifest_ || manifest_->content_digest != digest)
    return std::nullopt;
  return content_;
}

void ConfigurationController::OnManifest(const config::Manifest& manifest) {
  {
    const std::lock_guard lock(mutex_);
    if (manifest.revision <= current_->revision ||
        manifest.revision <= fetching_revision_)
      return;
    fetching_revision_ = manifest.revision;
  }
  FetchFrom(0, manifest);
}

void ConfigurationController::RetryMissingContent() {
  std::optional<config::Manifest> manifest;
  {
    const std::lock_guard lock(mutex_);
    manifest = std::exchange(manifest_without_content_, std::nullopt);
  }
  if (manifest)
    OnManifest(*manifest);
}

void ConfigurationController::FetchFrom(size_t source_index,
                                        const config::Manifest& manifest) {
  if (source_index >= sources_.size()) {
    KeepForRetry(manifest);
    return;
  }
  sources_[source_index]->Fetch(
      manifest.content_digest,
      [self = shared_from_this(), source_index, manifest](auto content) {
        self->OnFetched(source_index, manifest, std::move(content));
      });
}

void ConfigurationController::OnFetched(size_t source_index,
                                        const config::Manifest& manifest,
                                        base::Result<std::string> content) {
  if (!content || base::Sha256Hex(*content) != manifest.content_digest) {
    FetchFrom(source_index + 1, manifest);
    return;
  }
  auto parsed = parse_(*content, manifest.revision);
  if (parsed.issues.empty())
    InstallIfNewer(manifest, *std::move(content),
                   std::move(parsed.configuration));
  else
    RejectConfiguration(manifest, config::ToString(parsed.issues.front()));
}

void ConfigurationController::InstallIfNewer(
    const config::Manifest& manifest,
    std::string content,
    config::Configuration configuration) {
  const std::lock_guard install_lock(install_mutex_);
  {
    const std::lock_guard lock(mutex_);
    if (fetching_revision_ == manifest.revision)
      fetching_revision_ = 0;
    // NOTE: A slow fetch may end after a higher revision has come into force.
    if (manifest.revision <= current_->revision)
      return;
    current_ =
        std::make_shared<const config::Configuration>(std::move(configuration));
    manifest_ = manifest;
    content_ = std::move(content);
  }
  base::Log(base::Event::kConfigurationInForce,
            {{"revision", std::to_string(manifest.revision)}});
  for (const Listener& listener : listeners_)
    listener(manifest);
}

// Keeps the manifest to fetch its content later: no source has it yet, and
// peers may still be fetching it themselves.
void ConfigurationController::KeepForRetry(const config::Manifest& manifest) {
  const std::lock_guard lock(mutex_);
  if (fetching_revision_ == manifest.revision)
    fetching_revision_ = 0;
  const bool is_newest =
      manifest.revision > current_->revision &&
      manifest.revision > fetching_revision_ &&
      (!manifest_without_content_ ||
       manifest.revision > manifest_without_content_->revision);
  if (is_newest)
    manifest_without_content_ = manifest;
}

void ConfigurationController::RejectConfiguration(
    const config::Manifest& manifest,
    const std::string& reason) {
  {
    const std::lock_guard lock(mutex_);
    if (fetching_revision_ == manifest.revision)
      fetching_revision_ = 0;
  }
  base::Log(
      base::Event::kConfigurationRejected,
      {{"revision", std::to_string(manifest.revision)}, {"reason", reason}});
}

}  // namespace platform
