// Workloads of the load tool: lists of arrivals modelled on two users' traffic
// mixes. Deterministic: the same options give the same list.
#ifndef BERGAMOTSCALE_SRC_LOAD_WORKLOAD_H_
#define BERGAMOTSCALE_SRC_LOAD_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/emulator/engine_types.h"

namespace bergamotscale::load {

// kTagworks: keyword suggestions, catalogue orders, bulk re-tagging; 3
// availability zones. kStoves: quick quotes, cut and dispatch orders, long bend
// plans; 4 availability zones.
enum class Mix { kTagworks, kStoves };

// A bounded lognormal distribution of token counts.
struct TokenDistribution {
  Tokens median_;
  double sigma_ = 0;
  Tokens max_;
};

// Traffic of one service class.
struct ClassProfile {
  ClassId class_;
  Tier tier_ = Tier(1);
  Millis first_token_target_;
  Millis between_tokens_target_;
  Millis deadline_;
  // Fraction of all arrivals, from 0 to 1.
  double share_ = 0;
  TokenDistribution prompt_;
  TokenDistribution output_;
  // Orders are executed at most once, by a service that is not an engine.
  bool order_ = false;
};

// Traffic and deployment of a mix.
struct MixProfile {
  std::vector<ClassProfile> classes_;  // by tier, most urgent first
  std::vector<WorkspaceId> workspaces_;
  // Fraction of the arrivals by workspace; sums to 1.
  std::vector<double> workspace_shares_;
  std::vector<ZoneId> zones_;
  ModelId model_;
  std::string order_path_;
  // Groups of the engines and of the services that are not engines.
  GroupId engine_group_;
  GroupId service_group_;
  int engines_ = 9;
  int callers_ = 4;
};

// @return the profile. Thread safety: safe.
const MixProfile& GetMixProfile(Mix mix);

// Multiplies the arrivals of one class for a limited time.
struct Burst {
  ClassId class_;
  Millis start_;
  Millis length_;
  double factor_ = 1;
};

struct WorkloadOptions {
  Mix mix_ = Mix::kTagworks;
  uint64_t seed_ = 1;
  Millis length_ = Millis(60000);
  // Mean rate of all classes together, without the burst.
  double requests_per_second_ = 10;
  std::optional<Burst> burst_;
  // Fraction of the callers that disconnect before the response is complete.
  double early_leavers_ = 0;
  // Number of requests that crash their engine, spread evenly over the run.
  int crashing_requests_ = 0;
};

struct Arrival {
  int64_t number_ = 0;  // position in the list
  Millis time_;         // since the start
  ClassId class_;
  Tier tier_ = Tier(1);
  WorkspaceId workspace_;
  ZoneId zone_;
  int caller_ = 0;
  ModelId model_;
  // Contains a directive that makes the emulated engine write output_tokens_
  // tokens, a number unknown to a router.
  std::string prompt_;
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  // For orders only.
  bool order_ = false;
  std::string path_;
  IdempotencyKey key_;
  // Since the start; empty if the caller stays connected.
  std::optional<Millis> leaves_at_;
  bool crashes_engine_ = false;
};

// @return the arrivals in time order. Thread safety: safe.
std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options);

// @return a configuration with the classes, workspaces and groups of a mix. The
// key of a workspace is MakeWorkspaceKey() of its name.
ConfigDocument MakeMixConfig(Mix mix);
std::string MakeWorkspaceKey(const WorkspaceId& workspace);

// @return the prompt that the engine builds from the arrival's messages;
// prompt_ is the content of its only user message.
std::string MakeEnginePrompt(const Arrival& arrival);

// @return the sustained rate in arrivals per second that the engines can serve
// at a constant batch size, without prefix cache hits.
double CapacityOf(Mix mix,
                  const emulator::EngineParameters& engine,
                  int engines,
                  int batch);

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_WORKLOAD_H_
