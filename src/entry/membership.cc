#include "src/entry/membership.h"

#include <algorithm>
#include <map>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "src/core/chrono_time.h"
#include "src/http/client.h"

namespace bergamotscale::entry {
namespace {

using nlohmann::json;

constexpr Millis kPollInterval = Millis(500);
constexpr Millis kPollTimeout = Millis(2000);
constexpr char kSidecarRole[] = "sidecar";
constexpr char kEntryRole[] = "entry";
constexpr char kLive[] = "live";

ListedSidecar ParseSidecar(const json& instance) {
  ListedSidecar listed;
  SidecarMember& member = listed.member_;
  member.id_ = InstanceId(instance.at("id").get<std::string>());
  member.group_ = GroupId(instance.at("group").get<std::string>());
  member.zone_ = ZoneId(instance.at("zone").get<std::string>());
  member.endpoint_.address_ = instance.at("address").get<std::string>();
  member.endpoint_.port_ = instance.at("link_port").get<uint16_t>();
  listed.live_ = instance.at("state").get<std::string>() == kLive;
  return listed;
}

}  // namespace

Result<std::vector<ListedSidecar>> ParseListedSidecars(
    const std::string& body) {
  const json list = json::parse(body, nullptr, false);
  std::vector<ListedSidecar> sidecars;
  try {
    for (const json& instance : list.at("instances")) {
      if (instance.at("role").get<std::string>() == kSidecarRole) {
        sidecars.push_back(ParseSidecar(instance));
      }
    }
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kMalformedBody, failure.what());
  }
  return sidecars;
}

Result<std::vector<EntryMember>> ParseListedEntries(const std::string& body) {
  const json list = json::parse(body, nullptr, false);
  std::vector<EntryMember> entries;
  try {
    for (const json& instance : list.at("instances")) {
      const std::string zone = instance.value("zone", std::string());
      if (instance.at("role").get<std::string>() == kEntryRole &&
          instance.at("state").get<std::string>() == kLive && !zone.empty()) {
        entries.push_back(
            {InstanceId(instance.at("id").get<std::string>()), ZoneId(zone)});
      }
    }
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kMalformedBody, failure.what());
  }
  std::sort(
      entries.begin(), entries.end(),
      [](const EntryMember& a, const EntryMember& b) { return a.id_ < b.id_; });
  return entries;
}

std::vector<SidecarMember> MergeMembers(
    const std::vector<SidecarMember>& configured,
    const std::vector<ListedSidecar>& listed) {
  std::map<InstanceId, SidecarMember> members;
  for (const SidecarMember& member : configured) {
    members[member.id_] = member;
  }
  for (const ListedSidecar& sidecar : listed) {
    if (sidecar.live_) {
      members[sidecar.member_.id_] = sidecar.member_;
    } else {
      members.erase(sidecar.member_.id_);
    }
  }
  std::vector<SidecarMember> merged;
  merged.reserve(members.size());
  for (auto& [id, member] : members) {
    merged.push_back(std::move(member));
  }
  return merged;
}

class Membership::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       std::string url,
       std::vector<SidecarMember> configured,
       ChangeHook on_change)
      : io_(io),
        timer_(io),
        url_(std::move(url)),
        configured_(std::move(configured)),
        on_change_(std::move(on_change)) {}

  void Start() {
    on_change_({MergeMembers(configured_, {}), {}, url_.empty()});
    if (!url_.empty()) {
      Poll();
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void Poll() {
    http::Call call;
    call.url_ = url_ + "/instances";
    call.timeout_ = kPollTimeout;
    http::CallOnce(
        call, [self = shared_from_this()](Result<http::Reply> reply) {
          boost::asio::post(self->io_, [self, reply = std::move(reply)] {
            self->OnReply(reply);
          });
        });
  }

  void OnReply(const Result<http::Reply>& reply) {
    if (stopped_) {
      return;
    }
    if (reply.ok() && reply.value().status_ == 200) {
      ApplyList(reply.value().body_);
    } else {
      VLOG(1) << "instance list could not be read";
    }
    SchedulePoll();
  }

  void ApplyList(const std::string& body) {
    const Result<std::vector<ListedSidecar>> listed = ParseListedSidecars(body);
    if (!listed.ok()) {
      LOG(WARNING) << "ignored an invalid instance list: "
                   << listed.error().Message();
      return;
    }
    const Result<std::vector<EntryMember>> entries = ParseListedEntries(body);
    if (!entries.ok()) {
      LOG(WARNING) << "ignored an invalid instance list: "
                   << entries.error().Message();
      return;
    }
    on_change_(
        {MergeMembers(configured_, listed.value()), entries.value(), true});
  }

  void SchedulePoll() {
    timer_.expires_after(ToChrono(kPollInterval));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->Poll();
          }
        });
  }

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  const std::string url_;
  const std::vector<SidecarMember> configured_;
  const ChangeHook on_change_;
  bool stopped_ = false;
};

Membership::Membership(boost::asio::io_context& io,
                       std::string url,
                       std::vector<SidecarMember> configured,
                       ChangeHook on_change)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(url),
                                   std::move(configured),
                                   std::move(on_change))) {}

Membership::~Membership() {
  impl_->Stop();
}

void Membership::Start() {
  impl_->Start();
}

void Membership::Stop() {
  impl_->Stop();
}

}  // namespace bergamotscale::entry
