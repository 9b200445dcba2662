#include <string>

#include "src/load/workload.h"

namespace bergamotscale::load {
namespace {

constexpr int kWorkspaces = 10;

MixProfile BaseProfile(const std::string& workspace_prefix, int zones) {
  MixProfile profile;
  double total = 0;
  for (int i = 1; i <= kWorkspaces; ++i) {
    profile.workspaces_.emplace_back(workspace_prefix + std::to_string(i));
    profile.workspace_shares_.push_back(1.0 / i);
    total += 1.0 / i;
  }
  for (double& share : profile.workspace_shares_) {
    share /= total;
  }
  for (int i = 1; i <= zones; ++i) {
    profile.zones_.emplace_back("zone-" + std::to_string(i));
  }
  return profile;
}

ClassProfile QuickProfile(const std::string& name) {
  ClassProfile quick;
  quick.class_ = ClassId(name);
  quick.tier_ = Tier(1);
  quick.first_token_target_ = Millis(1000);
  quick.between_tokens_target_ = Millis(28);
  quick.deadline_ = Millis(15000);
  quick.share_ = 0.6;
  quick.prompt_ = TokenDistribution{Tokens(200), 0.5, Tokens(800)};
  quick.output_ = TokenDistribution{Tokens(40), 0.6, Tokens(300)};
  return quick;
}

ClassProfile OrderProfile() {
  ClassProfile order;
  order.class_ = ClassId("order");
  order.tier_ = Tier(2);
  order.first_token_target_ = Millis(1900);
  order.between_tokens_target_ = Millis(28);
  order.deadline_ = Millis(30000);
  order.share_ = 0.15;
  order.prompt_ = TokenDistribution{Tokens(120), 0.3, Tokens(400)};
  order.output_ = TokenDistribution{Tokens(16), 0.3, Tokens(64)};
  order.order_ = true;
  return order;
}

ClassProfile LongProfile(const std::string& name) {
  ClassProfile bulk;
  bulk.class_ = ClassId(name);
  bulk.tier_ = Tier(3);
  bulk.first_token_target_ = Millis(10000);
  bulk.between_tokens_target_ = Millis(60);
  bulk.deadline_ = Millis(120000);
  bulk.share_ = 0.25;
  bulk.prompt_ = TokenDistribution{Tokens(500), 0.6, Tokens(3000)};
  bulk.output_ = TokenDistribution{Tokens(250), 0.9, Tokens(2000)};
  return bulk;
}

MixProfile TagworksProfile() {
  MixProfile profile = BaseProfile("agency-", 3);
  profile.classes_ = {QuickProfile("suggestion"), OrderProfile(),
                      LongProfile("bulk")};
  profile.model_ = ModelId("keywords-8b");
  profile.engine_group_ = GroupId("keywording");
  profile.service_group_ = GroupId("agency");
  profile.order_path_ = "/v1/orders";
  return profile;
}

MixProfile StovesProfile() {
  MixProfile profile = BaseProfile("fitter-", 4);
  profile.classes_ = {QuickProfile("quote"), OrderProfile(),
                      LongProfile("bend-plan")};
  profile.model_ = ModelId("bends-8b");
  profile.engine_group_ = GroupId("planning");
  profile.service_group_ = GroupId("workshop-orders");
  profile.order_path_ = "/v1/orders";
  return profile;
}

}  // namespace

const MixProfile& GetMixProfile(Mix mix) {
  static const MixProfile* const kTagworks = new MixProfile(TagworksProfile());
  static const MixProfile* const kStoves = new MixProfile(StovesProfile());
  return mix == Mix::kTagworks ? *kTagworks : *kStoves;
}

}  // namespace bergamotscale::load
