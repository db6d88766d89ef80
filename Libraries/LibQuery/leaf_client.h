// Interface for sending leaf requests to nodes and checking their liveness.

#ifndef LIBQUERY_LEAF_CLIENT_H_
#define LIBQUERY_LEAF_CLIENT_H_

#include <functional>
#include <string>

#include "LibBase/error.h"
#include "LibQuery/leaf_message.h"

namespace query {

class LeafClient {
 public:
  virtual ~LeafClient() = default;

  using Callback = std::function<void(base::Result<LeafAnswer>)>;
  // Sends the request to the node, which may be this one. Calls `callback`
  // once, never from within Execute.
  virtual void Execute(const std::string& node_id,
                       const LeafRequest& request,
                       Callback callback) = 0;

  enum class Liveness { kAnswers, kSilent };
  using LivenessCallback = std::function<void(Liveness)>;
  // Checks whether the node's process is running at all, however loaded it is.
  virtual void CheckLiveness(const std::string& node_id,
                             base::Duration timeout,
                             LivenessCallback callback) = 0;
};

}  // namespace query

#endif  // LIBQUERY_LEAF_CLIENT_H_
