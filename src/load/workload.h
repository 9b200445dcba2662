// Workloads of the load tool: lists of arrivals after the two users' mixes.
// Pure: the same options give the same list.
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
// availability zones. kStoves: quick quotes, cut and dispatch orders, long
// bend plans; 4 availability zones.
enum class Mix { kTagworks, kStoves };

// Lognormal number of tokens, bounded.
struct TokenDistribution {
  Tokens median_;
  double sigma_ = 0;
  Tokens most_;
};

// How requests of one class look and arrive.
struct ClassProfile {
  ClassId class_;
  Tier tier_ = Tier(1);
  Millis first_token_target_;
  Millis between_tokens_target_;
  Millis deadline_;
  // Share of all arrivals, from 0 to 1.
  double share_ = 0;
  TokenDistribution prompt_;
  TokenDistribution output_;
  // An order is executed at most once, by a plain service.
  bool order_ = false;
};

// Everything that a mix consists of.
struct MixProfile {
  std::vector<ClassProfile> classes_;  // by tier, most urgent first
  std::vector<WorkspaceId> workspaces_;
  // Share of the arrivals by workspace; sums to 1.
  std::vector<double> workspace_shares_;
  std::vector<ZoneId> zones_;
  ModelId model_;
  std::string order_path_;
  // Groups of the engines and of the plain services.
  GroupId engine_group_;
  GroupId service_group_;
  int engines_ = 9;
  int callers_ = 4;
};

// @return the profile. Thread safety: safe.
const MixProfile& ProfileOf(Mix mix);

// Multiplies the arrivals of one class for a while.
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
  // Share of the callers that leave before their answer is whole.
  double early_leavers_ = 0;
  // Number of requests that crash the engine that runs them, spread evenly.
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
  // Directs the emulated engine to write output_tokens_; a router can't know
  // that number.
  std::string prompt_;
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  // Set for an order.
  bool order_ = false;
  std::string path_;
  IdempotencyKey key_;
  // Since the start; nothing if the caller stays.
  std::optional<Millis> leaves_at_;
  bool crashes_engine_ = false;
};

// @return the arrivals in the order of their times. Thread safety: safe.
std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options);

// @return a configuration with the classes, workspaces and groups of a mix. The
// key of a workspace is WorkspaceKeyOf() its name.
ConfigDocument ConfigOf(Mix mix);
std::string WorkspaceKeyOf(const WorkspaceId& workspace);

// @return the prompt of an arrival as the engine joins it from messages; the
// content of its one user message is prompt_.
std::string EnginePromptOf(const Arrival& arrival);

// @return the arrivals a second that engines can serve in the long run with a
// constant batch, without help by the prefix cache.
double CapacityOf(Mix mix,
                  const emulator::EngineParameters& engine,
                  int engines,
                  int batch);

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_WORKLOAD_H_
