#include "src/console/console.h"

#include <functional>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/config/config_follower.h"
#include "src/config/config_publisher.h"
#include "src/config/document_reader.h"
#include "src/config/key_hash.h"
#include "src/console/edit_actions.h"
#include "src/console/html.h"
#include "src/console/login.h"
#include "src/console/pages.h"
#include "src/console/replies.h"
#include "src/console/sessions.h"
#include "src/console/web_request.h"
#include "src/http/guarded_listener.h"
#include "src/http/listener.h"
#include "src/log/log_client.h"
#include "src/metrics/metrics.h"

namespace bergamotscale::console {
namespace {

using config::ConfigSnapshot;
using config::PublishRequest;
using config::PublishResult;
using config::PublishState;
using nlohmann::json;
using settings::FieldErrors;
using web::http::http_request;

constexpr Millis kLogTimeout = Millis(3000);
constexpr size_t kMaxCommentBytes = 500;

http::GuardedListenerOptions ListenerOptionsOf(
    const ConsoleSettings& settings) {
  const int inner_port =
      settings.listener_port_ > 0 ? settings.listener_port_ : settings.port_;
  http::GuardedListenerOptions options;
  options.caller_endpoint_ = {settings.address_,
                              static_cast<uint16_t>(settings.port_)};
  options.library_endpoint_ = {settings.listener_address_,
                               static_cast<uint16_t>(inner_port)};
  return options;
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
        follower_(client_,
                  {},
                  [this](const ConfigSnapshot& snapshot) {
                    metrics_.Set(
                        "bergamot_config_revision", "",
                        static_cast<double>(snapshot.revision_.value()));
                  }),
        publisher_(client_, follower_),
        sessions_(Clock::Steady()),
        login_(sessions_, mutex_, [this] { return Operators(); }),
        server_(ListenerOptionsOf(settings)),
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
  // Handle a request of a session. Called with mutex_ held.
  using Page = std::function<void(WebRequest&, const SessionPtr&)>;
  using Action =
      std::function<void(WebRequest&, const SessionPtr&, const Form&)>;
  using PageMethod = void (Impl::*)(WebRequest&, const SessionPtr&);
  using ActionMethod = void (Impl::*)(WebRequest&,
                                      const SessionPtr&,
                                      const Form&);

  void AddRoutes() {
    http::AdminHooks admin;
    admin.ready_ = [this] { return follower_.caught_up(); };
    admin.metrics_ = &metrics_;
    http::AddAdminRoutes(listener_, std::move(admin));
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
    AddPage("/", Bind(&Impl::ShowOverview));
    AddPage("/edit", ShowEdit);
    AddPage("/review", Bind(&Impl::ShowReview));
    AddPage("/history", Bind(&Impl::ShowHistory));
    AddPage("/publication", Bind(&Impl::ShowPublication));
    AddAction("/logout", Bind(&Impl::LogOut));
    AddAction("/save", SaveEntry);
    AddAction("/remove", RemoveEntry);
    AddAction("/add_key", AddKey);
    AddAction("/remove_key", RemoveKey);
    AddAction("/discard", Bind(&Impl::Discard));
    AddAction("/rebase", Bind(&Impl::Rebase));
    listener_.Route("POST", "/publish", [this](http_request request) {
      WebRequest(request).ReadForm(
          [this](const WebRequest& web, const Form& form) {
            Publish(web, form);
          });
    });
  }

  Page Bind(PageMethod page) {
    return [this, page](WebRequest& web, const SessionPtr& session) {
      (this->*page)(web, session);
    };
  }

  Action Bind(ActionMethod action) {
    return [this, action](WebRequest& web, const SessionPtr& session,
                          const Form& form) {
      (this->*action)(web, session, form);
    };
  }

  void AddPage(const std::string& path, const Page& page) {
    listener_.Route("GET", path, [this, page](http_request request) {
      WebRequest web(request);
      const std::lock_guard<std::mutex> lock(mutex_);
      const SessionPtr session = sessions_.Find(web.Cookie(kSessionCookie));
      if (!session) {
        Login::SendToLogin(web);
        return;
      }
      RefreshUnchangedDraft(*session);
      page(web, session);
    });
  }

  void AddAction(const std::string& path, const Action& action) {
    listener_.Route("POST", path, [this, action](http_request request) {
      WebRequest(request).ReadForm(
          [this, action](WebRequest web, const Form& form) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const SessionPtr session = FindSessionOfPost(web, form);
            if (session) {
              action(web, session, form);
            }
          });
    });
  }

  // @return the session of a POST request that carries the session's CSRF
  // token. If there is none, replies with an error or a redirect and returns
  // null.
  SessionPtr FindSessionOfPost(WebRequest& web, const Form& form) {
    SessionPtr session = sessions_.Find(web.Cookie(kSessionCookie));
    if (!session) {
      Login::SendToLogin(web);
      return nullptr;
    }
    if (!config::EqualInConstantTime(form.Get(kCsrf), session->csrf_token_)) {
      ReplyMessage(web, session, kHttpForbidden, "Refused",
                   "This post didn't come from a page of this session.");
      return nullptr;
    }
    RefreshUnchangedDraft(*session);
    return session;
  }

  // Replaces a draft without changes by the configuration in force.
  void RefreshUnchangedDraft(Session& session) {
    if (!session.draft_ || !session.draft_->HasChanges()) {
      const auto current = follower_.Current();
      session.draft_.emplace(current ? current->revision_ : Revision(0),
                             DocumentOf(current));
    }
  }

  LogState GetLogState() const {
    return {follower_.revision(), follower_.caught_up(), follower_.Staleness()};
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
              OverviewBody(*session->draft_, GetLogState()));
  }

  void ShowReview(WebRequest& web, const SessionPtr& session) {
    ReplyPage(web, session, kHttpOk, "Review",
              ReviewBody(*session->draft_, GetLogState(), CsrfInput(*session)));
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

  // Must not hold mutex_ when it calls the publisher, because the publisher may
  // call the hook at once, and the hook locks mutex_.
  void Publish(WebRequest web, const Form& form) {
    PublishRequest request;
    SessionPtr session;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      session = FindSessionOfPost(web, form);
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
    // The operator may have changed the draft in another window meanwhile.
    RefreshUnchangedDraft(*session);
    const json current = DocumentOf(follower_.Current());
    const std::string body =
        ResultBody(result, *session->draft_, current, CsrfInput(*session));
    if (result.state_ == PublishState::kAccepted &&
        session->draft_->HasSameEntries(published)) {
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
  metrics::Metrics metrics_;
  log::LogClient client_;
  config::ConfigFollower follower_;
  config::ConfigPublisher publisher_;
  std::mutex mutex_;
  Sessions sessions_;
  Login login_;
  http::GuardedListener server_;
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
