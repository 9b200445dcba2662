#include "src/console/console.h"

#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/config/config_follower.h"
#include "src/config/config_publisher.h"
#include "src/config/document_reader.h"
#include "src/config/key_hash.h"
#include "src/console/guarded_listener.h"
#include "src/console/html.h"
#include "src/console/login.h"
#include "src/console/pages.h"
#include "src/console/sessions.h"
#include "src/console/web_request.h"
#include "src/http/listener.h"
#include "src/log/log_client.h"

namespace bergamotscale::console {
namespace {

using config::ConfigSnapshot;
using config::PublishRequest;
using config::PublishResult;
using config::PublishState;
using nlohmann::json;
using settings::FieldErrors;
using web::http::http_request;
using SessionPtr = std::shared_ptr<Session>;

constexpr Millis kLogTimeout = Millis(3000);
constexpr size_t kKeyBytes = 24;
constexpr size_t kMaxCommentBytes = 500;
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpForbidden = 403;
constexpr int kHttpNotFound = 404;
constexpr char kCsrf[] = "csrf";

link::Endpoint OuterOf(const ConsoleSettings& settings) {
  return {settings.address_, static_cast<uint16_t>(settings.port_)};
}

link::Endpoint InnerOf(const ConsoleSettings& settings) {
  const int port =
      settings.listener_port_ > 0 ? settings.listener_port_ : settings.port_;
  return {settings.listener_address_, static_cast<uint16_t>(port)};
}

json DocumentOf(const std::shared_ptr<const ConfigSnapshot>& snapshot) {
  return snapshot ? json::parse(snapshot->text_) : json();
}

}  // namespace

class Console::Impl {
 public:
  explicit Impl(const ConsoleSettings& settings)
      : settings_(settings),
        client_(settings.log_url_, kLogTimeout),
        follower_(client_, {}, {}),
        publisher_(client_, follower_),
        sessions_(Clock::Steady()),
        login_(sessions_, mutex_, [this] { return Operators(); }),
        server_(OuterOf(settings), InnerOf(settings)),
        listener_(server_.listener()) {
    AddRoutes();
  }

  Status Start() {
    follower_.Start();
    return server_.Open();
  }

  void Stop() {
    server_.Close();
    follower_.Stop();
  }

  std::string url() const { return server_.url(); }

 private:
  // Handles a request of a session; called with mutex_ held.
  using Page = void (Impl::*)(WebRequest&, const SessionPtr&);
  using Action = void (Impl::*)(WebRequest&, const SessionPtr&, const Form&);

  void AddRoutes() {
    http::SideHooks side;
    side.ready_ = [this] { return follower_.caught_up(); };
    http::AddSideRoutes(listener_, std::move(side));
    listener_.Route("GET", "/style.css", [](http_request request) {
      WebRequest(request).ReplyStyle(StyleSheet());
    });
    listener_.Route("GET", "/login", [](http_request request) {
      Login::Show(WebRequest(request));
    });
    listener_.Route("POST", "/login", [this](http_request request) {
      WebRequest(request).ReadForm(
          [this](const WebRequest& web, const Form& form) {
            login_.LogIn(web, form);
          });
    });
    AddPage("/", &Impl::ShowOverview);
    AddPage("/edit", &Impl::ShowEdit);
    AddPage("/review", &Impl::ShowReview);
    AddPage("/history", &Impl::ShowHistory);
    AddPage("/publication", &Impl::ShowPublication);
    AddAction("/logout", &Impl::LogOut);
    AddAction("/save", &Impl::Save);
    AddAction("/remove", &Impl::Remove);
    AddAction("/add_key", &Impl::AddKey);
    AddAction("/remove_key", &Impl::RemoveKey);
    AddAction("/discard", &Impl::Discard);
    AddAction("/rebase", &Impl::Rebase);
    listener_.Route("POST", "/publish", [this](http_request request) {
      WebRequest(request).ReadForm(
          [this](const WebRequest& web, const Form& form) {
            Publish(web, form);
          });
    });
  }

  void AddPage(const std::string& path, Page page) {
    listener_.Route("GET", path, [this, page](http_request request) {
      WebRequest web(request);
      const std::lock_guard<std::mutex> lock(mutex_);
      const SessionPtr session = sessions_.Find(web.Cookie(kSessionCookie));
      if (!session) {
        web.Redirect("/login");
        return;
      }
      FollowNewest(*session);
      (this->*page)(web, session);
    });
  }

  void AddAction(const std::string& path, Action action) {
    listener_.Route("POST", path, [this, action](http_request request) {
      WebRequest(request).ReadForm(
          [this, action](WebRequest web, const Form& form) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const SessionPtr session = FindPoster(web, form);
            if (session) {
              (this->*action)(web, session, form);
            }
          });
    });
  }

  // @return the session of a post that carries its token; else replies.
  SessionPtr FindPoster(WebRequest& web, const Form& form) {
    SessionPtr session = sessions_.Find(web.Cookie(kSessionCookie));
    if (!session) {
      web.Redirect("/login");
      return nullptr;
    }
    if (!config::EqualInConstantTime(form.Get(kCsrf), session->csrf_token_)) {
      ReplyMessage(web, session, kHttpForbidden, "Refused",
                   "This post didn't come from a page of this session.");
      return nullptr;
    }
    FollowNewest(*session);
    return session;
  }

  // A draft without changes shows what is in force.
  void FollowNewest(Session& session) {
    if (!session.draft_ || !session.draft_->HasChanges()) {
      const auto current = follower_.Current();
      session.draft_.emplace(current ? current->revision_ : Revision(0),
                             DocumentOf(current));
    }
  }

  LogState StateOfLog() const {
    return {follower_.revision(), follower_.caught_up(), follower_.Staleness()};
  }

  static std::string CsrfInput(const Session& session) {
    return HiddenInput(kCsrf, session.csrf_token_);
  }

  static void ReplyPage(WebRequest& web,
                        const SessionPtr& session,
                        int status,
                        const std::string& title,
                        const std::string& body) {
    Frame frame;
    frame.title_ = title;
    frame.operator_ = session->operator_;
    frame.csrf_token_ = session->csrf_token_;
    frame.has_changes_ = session->draft_ && session->draft_->HasChanges();
    web.ReplyHtml(status, RenderPage(frame, body));
  }

  static void ReplyMessage(WebRequest& web,
                           const SessionPtr& session,
                           int status,
                           const std::string& title,
                           const std::string& message) {
    ReplyPage(web, session, status, title, "<p>" + Escape(message) + "</p>");
  }

  std::vector<Operator> Operators() const {
    const auto current = follower_.Current();
    if (current && !current->document_.operators_.empty()) {
      return current->document_.operators_;
    }
    return settings_.bootstrap_operators_;
  }

  void LogOut(WebRequest& web, const SessionPtr&, const Form&) {
    sessions_.End(web.Cookie(kSessionCookie));
    web.SetCookie(kSessionCookie, "");
    web.Redirect("/login");
  }

  void ShowOverview(WebRequest& web, const SessionPtr& session) {
    ReplyPage(web, session, kHttpOk, "Configuration",
              OverviewBody(*session->draft_, StateOfLog()));
  }

  void ShowEdit(WebRequest& web, const SessionPtr& session) {
    const Section* section = FindSection(web.Query("list"));
    const std::string name = web.Query("entry");
    if (section == nullptr) {
      ReplyMessage(web, session, kHttpNotFound, "Not found", "No such list.");
      return;
    }
    const json entry =
        name.empty() ? json::object() : session->draft_->Find(*section, name);
    if (entry.is_null()) {
      ReplyMessage(web, session, kHttpNotFound, "Not found", "No such entry.");
      return;
    }
    ReplyEdit(web, session, *section, name, entry, {});
  }

  static void ReplyEdit(WebRequest& web,
                        const SessionPtr& session,
                        const Section& section,
                        const std::string& name,
                        const json& entry,
                        const FieldErrors& errors) {
    const std::string title = (name.empty() ? "New " : "Change ") +
                              std::string(section.entry_title_) + " " + name;
    ReplyPage(web, session, errors.empty() ? kHttpOk : kHttpBadRequest, title,
              EditBody(section, name, entry, errors, CsrfInput(*session)));
  }

  void Save(WebRequest& web, const SessionPtr& session, const Form& form) {
    const Section* section = FindSection(form.Get("list"));
    const std::string name = form.Get("entry");
    if (section == nullptr) {
      ReplyMessage(web, session, kHttpNotFound, "Not found", "No such list.");
      return;
    }
    json before =
        name.empty() ? json::object() : session->draft_->Find(*section, name);
    if (before.is_null()) {
      before = json::object();
    }
    const json entry = TakeFields(*section, std::move(before), form);
    const FieldErrors errors = session->draft_->Save(*section, name, entry);
    if (!errors.empty()) {
      ReplyEdit(web, session, *section, name, entry, errors);
      return;
    }
    web.Redirect("/review");
  }

  void Remove(WebRequest& web, const SessionPtr& session, const Form& form) {
    const Section* section = FindSection(form.Get("list"));
    if (section != nullptr) {
      session->draft_->Remove(*section, form.Get("entry"));
    }
    web.Redirect("/review");
  }

  void AddKey(WebRequest& web, const SessionPtr& session, const Form& form) {
    const Section& section = *FindSection("workspaces");
    const std::string name = form.Get("entry");
    json entry = session->draft_->Find(section, name);
    if (entry.is_null()) {
      ReplyMessage(web, session, kHttpNotFound, "Not found", "No such entry.");
      return;
    }
    const std::string key = "bk-" + config::RandomHex(kKeyBytes);
    entry["key_hashes"].push_back(config::HashWorkspaceKey(key));
    const FieldErrors errors = session->draft_->Save(section, name, entry);
    if (!errors.empty()) {
      ReplyEdit(web, session, section, name, entry, errors);
      return;
    }
    ReplyPage(web, session, kHttpOk, "New key", NewKeyBody(name, key));
  }

  void RemoveKey(WebRequest& web, const SessionPtr& session, const Form& form) {
    const Section& section = *FindSection("workspaces");
    const std::string name = form.Get("entry");
    json entry = session->draft_->Find(section, name);
    if (!entry.is_null()) {
      json kept = json::array();
      for (const json& hash : entry.value("key_hashes", json::array())) {
        if (hash != form.Get("hash")) {
          kept.push_back(hash);
        }
      }
      entry["key_hashes"] = kept;
      session->draft_->Save(section, name, entry);
    }
    web.Redirect("/edit?list=workspaces&entry=" + QueryEscape(name));
  }

  void ShowReview(WebRequest& web, const SessionPtr& session) {
    ReplyPage(web, session, kHttpOk, "Review",
              ReviewBody(*session->draft_, StateOfLog(), CsrfInput(*session)));
  }

  void Discard(WebRequest& web, const SessionPtr& session, const Form&) {
    session->draft_.reset();
    web.Redirect("/");
  }

  void Rebase(WebRequest& web, const SessionPtr& session, const Form&) {
    const auto current = follower_.Current();
    const Status moved = session->draft_->Rebase(
        current ? current->revision_ : Revision(0), DocumentOf(current));
    if (!moved.ok()) {
      ReplyMessage(
          web, session, kHttpBadRequest, "Review",
          "Your changes don't fit what is in force: " + moved.error().detail_);
      return;
    }
    web.Redirect("/review");
  }

  // The publisher may call its hook at once, so mutex_ isn't held here.
  void Publish(WebRequest web, const Form& form) {
    PublishRequest request;
    SessionPtr session;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      session = FindPoster(web, form);
      if (!session) {
        return;
      }
      FieldErrors errors;
      request.document_ = config::ReadConfigDocument(
          session->draft_->document(), "draft", &errors);
      if (!errors.empty() || !session->draft_->HasChanges()) {
        web.Redirect("/review");
        return;
      }
      request.base_ = session->draft_->base_revision();
      request.author_ = session->operator_;
      request.comment_ = form.Get("comment").substr(0, kMaxCommentBytes);
    }
    const json published = config::ConfigDocumentToJson(request.document_);
    publisher_.Publish(
        request, [this, web, session, published](const PublishResult& result) {
          ShowResult(web, session, published, result);
        });
  }

  void ShowResult(WebRequest web,
                  const SessionPtr& session,
                  const json& published,
                  const PublishResult& result) {
    const std::lock_guard<std::mutex> lock(mutex_);
    // The operator may have gone on in another window.
    FollowNewest(*session);
    const json current = DocumentOf(follower_.Current());
    const std::string body =
        ResultBody(result, *session->draft_, current, CsrfInput(*session));
    if (result.state_ == PublishState::kAccepted &&
        session->draft_->HasPublished(published)) {
      session->draft_.reset();
    }
    ReplyPage(web, session, kHttpOk, "Publication", body);
  }

  void ShowHistory(WebRequest& web, const SessionPtr& session) {
    ReplyPage(web, session, kHttpOk, "History",
              HistoryBody(follower_.History()));
  }

  void ShowPublication(WebRequest& web, const SessionPtr& session) {
    const std::string id = web.Query("id");
    ReplyPage(web, session, kHttpOk, "Publication",
              PublicationBody(id, follower_.FindOutcome(PublicationId(id))));
  }

  const ConsoleSettings settings_;
  log::LogClient client_;
  config::ConfigFollower follower_;
  config::ConfigPublisher publisher_;
  std::mutex mutex_;
  Sessions sessions_;
  Login login_;
  GuardedListener server_;
  http::Listener& listener_;
};

Console::Console(const ConsoleSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Console::~Console() {
  Stop();
}

Status Console::Start() {
  return impl_->Start();
}

void Console::Stop() {
  impl_->Stop();
}

std::string Console::url() const {
  return impl_->url();
}

}  // namespace bergamotscale::console
