// The configuration in force on this node. Its revision never goes down.

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

// Where a configuration's content can be had: peers and the store.
class ContentSource {
 public:
  virtual ~ContentSource() = default;

  using Callback = std::function<void(base::Result<std::string>)>;
  virtual void Fetch(const std::string& digest, Callback callback) = 0;
};

class ConfigurationController
    : public std::enable_shared_from_this<ConfigurationController> {
 public:
  using Listener = std::function<void(const config::Manifest&)>;

  using Parser =
      std::function<config::ParsedConfiguration(std::string_view content,
                                                uint64_t revision)>;

  // Sources are tried in order and outlive the controller. `parse` reads their
  // content.
  static std::shared_ptr<ConfigurationController> Create(
      std::vector<ContentSource*> sources,
      Parser parse = config::ParseContent);

  // Learns of a manifest from any side. A higher revision than any known is
  // fetched and put in force; others are ignored.
  void OnManifest(const config::Manifest& manifest);

  // As OnManifest, where the content is at hand and was read.
  void InstallIfNewer(const config::Manifest& manifest,
                      std::string content,
                      config::Configuration configuration);

  // Fetches again what no source had when it was wanted. Call now and then.
  void RetryMissingContent();

  // Never null; revision 0 while none is known.
  config::ConfigurationPtr Current();
  std::optional<config::Manifest> CurrentManifest();

  // The content in force if it has this digest, for peers.
  std::optional<std::string> ContentOf(const std::string& digest);

  // Called outside locks after each change, in rising order of revisions.
  // Call before other threads use the controller.
  void AddListener(Listener listener);

 private:
  ConfigurationController(std::vector<ContentSource*> sources, Parser parse);

  void FetchFrom(size_t source, const config::Manifest& manifest);
  void OnFetched(size_t source,
                 const config::Manifest& manifest,
                 base::Result<std::string> content);
  void KeepMissing(const config::Manifest& manifest);
  void GiveUp(const config::Manifest& manifest, const std::string& reason);

  const std::vector<ContentSource*> sources_;
  const Parser parse_;
  std::vector<Listener> listeners_;
  // Held over installing and telling the listeners, to keep the order.
  std::mutex install_mutex_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  config::ConfigurationPtr current_;
  std::optional<config::Manifest> manifest_;
  std::string content_;
  std::optional<config::Manifest> missing_;  // Higher than `manifest_`.
  uint64_t fetching_ = 0;  // Revision being fetched; 0 for none.
};

}  // namespace platform

#endif  // LIBPLATFORM_CONFIGURATION_CONTROLLER_H_
