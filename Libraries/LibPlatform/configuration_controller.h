// Holds the configuration in force on this node. Its revision never decreases.

#ifndef LIBPLATFORM_CONFIGURATION_CONTROLLER_H_
#define LIBPLATFORM_CONFIGURATION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"

namespace platform {

// Supplies the content of configurations, from peers or from the store.
class ContentSource {
 public:
  virtual ~ContentSource() = default;

  using Callback = std::function<void(base::Result<std::string>)>;
  // Fetches the content that has this digest.
  virtual void Fetch(const std::string& digest, Callback callback) = 0;
};

class ConfigurationController
    : public std::enable_shared_from_this<ConfigurationController> {
 public:
  using Listener = std::function<void(const config::Manifest&)>;

  using Parser =
      std::function<config::ParsedConfiguration(std::string_view content,
                                                uint64_t revision)>;

  // Sources are tried in order and must outlive the controller. `parse` parses
  // the content that they supply.
  static std::shared_ptr<ConfigurationController> Create(
      std::vector<ContentSource*> sources,
      Parser parse = config::ParseContent);

  // Handles a manifest, wherever it comes from. If its revision is higher than
  // the one in force and the one being fetched, fetches its content and puts it
  // in force. Ignores it otherwise.
  void OnManifest(const config::Manifest& manifest);

  // Puts a configuration, parsed from `content`, in force if its revision is
  // higher than the one in force.
  void InstallIfNewer(const config::Manifest& manifest,
                      std::string content,
                      config::Configuration configuration);

  // Fetches the content of the newest manifest again if no source had it. Must
  // be called at intervals.
  void RetryMissingContent();

  // Returns the configuration in force. It is never null, and has revision 0
  // until one is known.
  config::ConfigurationPtr Current();
  std::optional<config::Manifest> CurrentManifest();

  // Returns the content in force if it has this digest, so that peers can fetch
  // it from this node.
  std::optional<std::string> ContentOf(const std::string& digest);

  // `listener` is called after each change, in rising order of revisions, and
  // may call the controller's accessors. Listeners must be added before other
  // threads use the controller.
  void AddListener(Listener listener);

 private:
  ConfigurationController(std::vector<ContentSource*> sources, Parser parse);

  void FetchFrom(size_t source_index, const config::Manifest& manifest);
  void OnFetched(size_t source_index,
                 const config::Manifest& manifest,
                 base::Result<std::string> content);
  void KeepForRetry(const config::Manifest& manifest);
  void RejectConfiguration(const config::Manifest& manifest,
                           const std::string& reason);

  const std::vector<ContentSource*> sources_;
  const Parser parse_;
  std::vector<Listener> listeners_;
  // Held while a configuration is put in force and the listeners are called, so
  // that they see rising revisions. `mutex_` is not held during these calls.
  std::mutex install_mutex_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  config::ConfigurationPtr current_;
  // The manifest and the content of `current_`.
  std::optional<config::Manifest> manifest_;
  std::string content_;
  // A manifest of a higher revision than `manifest_` whose content no source
  // had.
  std::optional<config::Manifest> manifest_without_content_;
  uint64_t fetching_revision_ = 0;  // 0 if no content is being fetched.
};

}  // namespace platform

#endif  // LIBPLATFORM_CONFIGURATION_CONTROLLER_H_
