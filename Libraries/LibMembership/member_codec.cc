// The value of a member fact is a JSON array of strings.

#include "LibMembership/member_codec.h"

#include <nlohmann/json.hpp>

namespace membership {

using nlohmann::json;

namespace {

constexpr uint64_t kMemberStateCount = 4;

}  // namespace

Fact ToFact(const Member& member) {
  const json value = {member.node_id, member.availability_zone,
                      member.caller_address, member.peer_address,
                      member.operator_address};
  return {std::string(kMemberFactPrefix) + member.node_id,
          {member.incarnation, member.refutation_count * kMemberStateCount +
                                   static_cast<uint64_t>(member.state)},
          value.dump()};
}

std::optional<Member> ToMember(const Fact& fact) {
  const json value = json::parse(fact.value, nullptr, false);
  const bool valid =
      fact.key.starts_with(kMemberFactPrefix) && value.is_array() &&
      value.size() == 5 &&
      std::all_of(value.begin(), value.end(),
                  [](const json& item) { return item.is_string(); }) &&
      fact.key.substr(kMemberFactPrefix.size()) == value[0].get<std::string>();
  if (!valid)
    return std::nullopt;
  Member member;
  member.node_id = value[0];
  member.availability_zone = value[1];
  member.caller_address = value[2];
  member.peer_address = value[3];
  member.operator_address = value[4];
  member.incarnation = fact.version.epoch;
  member.refutation_count =
      static_cast<uint32_t>(fact.version.counter / kMemberStateCount);
  member.state =
      static_cast<MemberState>(fact.version.counter % kMemberStateCount);
  return member;
}

}  // namespace membership
