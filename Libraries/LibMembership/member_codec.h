// Members as facts.

#ifndef LIBMEMBERSHIP_MEMBER_CODEC_H_
#define LIBMEMBERSHIP_MEMBER_CODEC_H_

#include <optional>
#include <string_view>

#include "LibMembership/fact.h"
#include "LibMembership/member.h"

namespace membership {

inline constexpr std::string_view kMemberPrefix = "member/";

Fact ToFact(const Member& member);
std::optional<Member> ToMember(const Fact& fact);

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_CODEC_H_
