// A node as its peers know it.

#ifndef LIBMEMBERSHIP_MEMBER_H_
#define LIBMEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>

namespace membership {

// Ordered by how strongly a claim of the same incarnation counts.
enum class MemberState : uint8_t { kAlive, kSuspect, kLeaving, kDead };

struct Member {
  std::string node_id;
  std::string availability_zone;
  std::string caller_address;
  std::string peer_address;
  std::string operator_address;
  // Of the process; a restart takes a higher one.
  uint64_t incarnation = 0;
  // Raised by the member itself to refute a suspicion.
  uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;

  bool is_usable() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
  auto operator<=>(const Member&) const = default;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_H_
