// What a node knows about another node or itself.

#ifndef LIBMEMBERSHIP_MEMBER_H_
#define LIBMEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>

namespace membership {

// Ordered by precedence: of two updates with the same incarnation and
// refutation count, the one with the later state wins.
enum class MemberState : uint8_t { kAlive, kSuspect, kLeaving, kDead };

struct Member {
  std::string node_id;
  std::string availability_zone;
  std::string caller_address;
  std::string peer_address;
  std::string operator_address;
  // Identifies the node's process; a restarted node has a higher one.
  uint64_t incarnation = 0;
  // Increased by the member itself to refute that it is suspected or dead.
  uint32_t refutation_count = 0;
  MemberState state = MemberState::kAlive;

  // Returns whether the member may be given work.
  bool is_usable() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
  auto operator<=>(const Member&) const = default;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_H_
