#include "standins/engine/engine_orders.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "standins/engine/weight_fetch.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;

struct Order {
  int64_t fence_ = 0;
  std::string kind_;
  std::string model_;
  std::string adapter_;
  std::string version_;
  std::string role_;
};

struct LoadedModel {
  std::string version_;
  bool fetched_ = false;
  Millis ready_at_;
  std::set<std::string> adapters_;
};

std::string GetString(const json& body, const char* key) {
  const auto found = body.find(key);
  const bool present = found != body.end() && found->is_string();
  return present ? found->get<std::string>() : std::string();
}

Result<Order> ParseOrder(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("fence") ||
      !parsed["fence"].is_number_integer()) {
    return Error(ErrorCode::kMalformedBody, "fence: expected an integer");
  }
  Order order;
  order.fence_ = parsed["fence"].get<int64_t>();
  order.kind_ = GetString(parsed, "order");
  order.model_ = GetString(parsed, "model");
  order.adapter_ = GetString(parsed, "adapter");
  order.version_ = GetString(parsed, "version");
  order.role_ = GetString(parsed, "role");
  return order;
}

}  // namespace

class EngineOrders::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const EngineSettings& settings, Clock clock)
      : any_model_(settings.models_.empty()),
        checks_fence_(settings.checks_fence_),
        load_time_(settings.load_time_),
        weight_store_url_(settings.weight_store_url_),
        clock_(std::move(clock)) {
    for (const std::string& model : settings.models_) {
      models_[model] = LoadedModel{"", true, Millis(0), {}};
    }
    if (!settings.order_journal_file_.empty()) {
      journal_.open(settings.order_journal_file_, std::ios::app);
    }
  }

  Status Apply(const std::string& body) {
    const Result<Order> order = ParseOrder(body);
    if (!order.ok()) {
      return order.error();
    }
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (checks_fence_ && order.value().fence_ < highest_fence_) {
      return Error(ErrorCode::kStaleFence,
                   "newest fence is " + std::to_string(highest_fence_));
    }
    Status executed = Execute(order.value());
    if (executed.ok()) {
      highest_fence_ = std::max(highest_fence_, order.value().fence_);
      WriteJournal(json::parse(body, nullptr, false));
    }
    return executed;
  }

  bool Serves(const ModelId& model) const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (any_model_) {
      return true;
    }
    const auto found = models_.find(model.value());
    return found != models_.end() && IsReady(found->second);
  }

  std::string ListModels() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    json list = json::array();
    for (const auto& [name, model] : models_) {
      if (IsReady(model)) {
        list.push_back({{"id", name},
                        {"object", "model"},
                        {"version", model.version_},
                        {"adapters", model.adapters_}});
      }
    }
    return json{{"object", "list"}, {"data", list}}.dump() + "\n";
  }

  bool leaving() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    return leaving_;
  }

  std::string Describe() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    json models = json::array();
    for (const auto& [name, model] : models_) {
      models.push_back({{"model", name},
                        {"version", model.version_},
                        {"ready", IsReady(model)},
                        {"adapters", model.adapters_}});
    }
    const json state = {{"models", models},
                        {"role", role_},
                        {"leaving", leaving_},
                        {"fence", highest_fence_},
                        {"accepted", accepted_}};
    return state.dump() + "\n";
  }

 private:
  bool IsReady(const LoadedModel& model) const {
    return model.fetched_ && model.ready_at_ <= clock_.Now();
  }

  void WriteJournal(json order) {
    order["time_ms"] = Clock::Wall().Now().count();
    if (journal_.is_open()) {
      journal_ << order.dump() << "\n" << std::flush;
    }
    accepted_.push_back(std::move(order));
  }

  // Precondition: the caller holds mutex_. FetchWeights() may call back before
  // it returns.
  void Load(const Order& order) {
    any_model_ = false;
    const auto known = models_.find(order.model_);
    if (known != models_.end() && known->second.version_ == order.version_) {
      return;
    }
    models_[order.model_] = LoadedModel{order.version_, false, Millis(0), {}};
    std::weak_ptr<Impl> weak = weak_from_this();
    FetchWeights(weight_store_url_, order.model_, [weak, order](bool sent) {
      if (const auto self = weak.lock()) {
        self->OnFetched(order, sent);
      }
    });
  }

  void OnFetched(const Order& order, bool sent) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    const auto model = models_.find(order.model_);
    if (model == models_.end() || model->second.version_ != order.version_) {
      return;
    }
    if (!sent) {
      models_.erase(model);
      return;
    }
    model->second.fetched_ = true;
    model->second.ready_at_ = clock_.Now() + load_time_;
  }

  // Precondition: the caller holds mutex_.
  void LoadAdapter(const Order& order) {
    std::weak_ptr<Impl> weak = weak_from_this();
    FetchWeights(weight_store_url_, order.model_ + "." + order.adapter_,
                 [weak, order](bool sent) {
                   const auto self = weak.lock();
                   if (self != nullptr && sent) {
                     self->OnAdapterFetched(order);
                   }
                 });
  }

  void OnAdapterFetched(const Order& order) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    const auto model = models_.find(order.model_);
    if (model != models_.end()) {
      model->second.adapters_.insert(order.adapter_);
    }
  }

  Status Execute(const Order& order) {
    if (order.kind_ == "leave") {
      leaving_ = true;
      return Done{};
    }
    if (order.kind_ == "set_role") {
      role_ = order.role_;
      return Done{};
    }
    if (order.model_.empty()) {
      return Error(ErrorCode::kMalformedBody, "order, model: expected names");
    }
    return ExecuteOnModel(order);
  }

  Status ExecuteOnModel(const Order& order) {
    if (order.kind_ == "load_model") {
      Load(order);
      return Done{};
    }
    if (order.kind_ == "unload_model") {
      any_model_ = false;
      models_.erase(order.model_);
      return Done{};
    }
    const auto model = models_.find(order.model_);
    if (model == models_.end()) {
      return Error(ErrorCode::kUnknownModel, order.model_);
    }
    if (order.kind_ == "load_adapter") {
      LoadAdapter(order);
    } else if (order.kind_ == "unload_adapter") {
      model->second.adapters_.erase(order.adapter_);
    } else {
      return Error(ErrorCode::kMalformedBody, "order: unknown " + order.kind_);
    }
    return Done{};
  }

  mutable std::recursive_mutex mutex_;
  bool any_model_;
  const bool checks_fence_;
  const Millis load_time_;
  const std::string weight_store_url_;
  Clock clock_;
  std::map<std::string, LoadedModel> models_;
  std::string role_ = "serve";
  bool leaving_ = false;
  int64_t highest_fence_ = 0;
  std::vector<json> accepted_;
  std::ofstream journal_;
};

EngineOrders::EngineOrders(const EngineSettings& settings, Clock clock)
    : impl_(std::make_shared<Impl>(settings, std::move(clock))) {}

EngineOrders::~EngineOrders() = default;

Status EngineOrders::Apply(const std::string& body) {
  return impl_->Apply(body);
}

bool EngineOrders::Serves(const ModelId& model) const {
  return impl_->Serves(model);
}

std::string EngineOrders::ListModels() const {
  return impl_->ListModels();
}

bool EngineOrders::leaving() const {
  return impl_->leaving();
}

std::string EngineOrders::Describe() const {
  return impl_->Describe();
}

}  // namespace bergamotscale::standins
