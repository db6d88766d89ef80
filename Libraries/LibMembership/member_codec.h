// Converts members to facts and back.

#ifndef LIBMEMBERSHIP_MEMBER_CODEC_H_
#define LIBMEMBERSHIP_MEMBER_CODEC_H_

#include <optional>
#include <string_view>

#include "LibMembership/fact.h"
#include "LibMembership/member.h"

namespace membership {

inline constexpr std::string_view kMemberFactPrefix = "member/";

// The fact's version orders updates about a member: a higher incarnation wins,
// then a higher refutation count, then a later state.
Fact ToFact(const Member& member);
// Returns nothing if `fact` is not a valid member fact.
std::optional<Member> ToMember(const Fact& fact);

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_CODEC_H_
