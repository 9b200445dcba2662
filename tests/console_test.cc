// Tests the console: escaping, forms, drafts and the refusal of forged posts.
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "src/config/key_hash.h"
#include "src/console/console.h"
#include "src/console/draft.h"
#include "src/console/html.h"
#include "src/http/client.h"
#include "tests/support_log.h"

namespace bergamotscale::console {
namespace {

using nlohmann::json;
using settings::FieldErrors;
using testing::FreePort;
using testing::OpenLog;
using testing::WaitUntil;

const Section& Classes() {
  return *FindSection("classes");
}

TEST_CASE("console: text is escaped and forms are decoded") {
  CHECK(EscapeHtml("<a href=\"x\">'&") ==
        "&lt;a href=&quot;x&quot;&gt;&#39;&amp;");
  const Form form = Form::Parse("a=1%202&b=x+y&c=%zz&d");
  CHECK(form.Get("a") == "1 2");
  CHECK(form.Get("b") == "x y");
  CHECK(form.Get("none").empty());
}

TEST_CASE("console: a draft keeps only entries without faults") {
  Draft draft(Revision(3), json());
  const json wrong = TakeFields(Classes(), json::object(),
                                Form::Parse("name=quote&tier=first"));
  const FieldErrors errors = draft.Save(Classes(), "", wrong);
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].key_ == "tier");
  CHECK(!draft.HasChanges());
  const json right =
      TakeFields(Classes(), json::object(), Form::Parse("name=quote&tier=1"));
  CHECK(draft.Save(Classes(), "", right).empty());
  const std::vector<Change> changes =
      CompareDocuments(draft.base(), draft.document());
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].where_ == "classes / quote");
}

TEST_CASE("console: changes are rebased onto another revision or are refused") {
  json base = {{"classes", {{{"name", "a"}, {"tier", 1}}}}};
  Draft draft(Revision(1), base);
  json mine = base["classes"][0];
  mine["tier"] = 2;
  REQUIRE(draft.Save(Classes(), "a", mine).empty());
  json theirs = base;
  theirs["classes"].push_back({{"name", "b"}, {"tier", 3}});
  REQUIRE(draft.Rebase(Revision(2), theirs).ok());
  CHECK(draft.base_revision() == Revision(2));
  CHECK(CompareDocuments(draft.base(), draft.document()).size() == 1);
  CHECK(!draft.Rebase(Revision(3), json::object()).ok());
  CHECK(draft.base_revision() == Revision(2));
}

// An HTTP client that keeps the cookie and the CSRF token of the last page.
class Browser {
 public:
  explicit Browser(std::string url) : url_(std::move(url)) {}

  http::Reply Get(const std::string& path) { return Send("GET", path, ""); }
  http::Reply Post(const std::string& path, const std::string& body) {
    return Send("POST", path, body + "&csrf=" + token_);
  }
  // Logs in with the cookie and the token of the login page.
  bool LogIn(const std::string& name, const std::string& password) {
    Get("/login");
    cookie_ = "login=" + token_;
    const http::Reply reply =
        Post("/login", "name=" + name + "&password=" + password);
    cookie_ = reply.set_cookie_.substr(0, reply.set_cookie_.find(';'));
    Get("/");
    return reply.status_ == 303;
  }
  void CorruptToken() { token_ = "stolen"; }

 private:
  http::Reply Send(const std::string& method,
                   const std::string& path,
                   const std::string& body) {
    http::Call call;
    call.method_ = method;
    call.url_ = url_ + path;
    call.body_ = body;
    call.content_type_ = "application/x-www-form-urlencoded";
    call.headers_ = {{"Cookie", cookie_}};
    const Result<http::Reply> reply = http::CallAndWait(call);
    REQUIRE(reply.ok());
    const std::string mark = "name=\"csrf\" value=\"";
    const size_t found = reply.value().body_.find(mark);
    if (found != std::string::npos) {
      const size_t start = found + mark.size();
      token_ = reply.value().body_.substr(
          start, reply.value().body_.find('"', start) - start);
    }
    return reply.value();
  }

  std::string url_;
  std::string cookie_ = "none=1";
  std::string token_;
};

bool Shows(const http::Reply& reply, const std::string& text) {
  return reply.body_.find(text) != std::string::npos;
}

// A console with two operators, connected to a log stand-in.
struct ConsoleBench {
  ConsoleBench() : log_(OpenLog()) {
    ConsoleSettings settings;
    settings.port_ = FreePort();
    settings.log_url_ = log_->url();
    const std::string hash = config::HashPassword("secret");
    settings.bootstrap_operators_ = {{"ann", hash}, {"bob", hash}};
    console_ = std::make_unique<Console>(settings);
    REQUIRE(console_->Start().ok());
    Browser browser(console_->url());
    REQUIRE(WaitUntil([&] { return browser.Get("/readyz").status_ == 200; }));
  }
  std::unique_ptr<standins::LogServer> log_;
  std::unique_ptr<Console> console_;
};

TEST_CASE("console: strangers, wrong passwords and foreign posts are refused") {
  ConsoleBench bench;
  Browser browser(bench.console_->url());
  CHECK(browser.Get("/").status_ == 303);
  CHECK(!browser.LogIn("ann", "wrong"));
  CHECK(!browser.LogIn("eve", "secret"));
  REQUIRE(browser.LogIn("ann", "secret"));
  browser.CorruptToken();
  CHECK(browser.Post("/save", "list=classes&name=a&tier=1").status_ == 403);
  // The page of the refusal contained the session's token again.
  browser.CorruptToken();
  CHECK(browser.Post("/publish", "").status_ == 403);
  CHECK(browser.Post("/save", std::string(70000, 'x')).status_ == 413);
}

TEST_CASE("console: two operators edit, one is accepted, both are told") {
  ConsoleBench bench;
  Browser ann(bench.console_->url());
  Browser bob(bench.console_->url());
  REQUIRE(ann.LogIn("ann", "secret"));
  REQUIRE(bob.LogIn("bob", "secret"));
  const http::Reply wrong = ann.Post("/save", "list=classes&name=<b>&tier=0");
  CHECK(wrong.status_ == 400);
  CHECK(Shows(wrong, "expected an integer from 1 to 9"));
  CHECK(!Shows(wrong, "<b>"));
  CHECK(ann.Post("/save", "list=classes&name=quote&tier=1").status_ == 303);
  CHECK(bob.Post("/save", "list=classes&name=bulk&tier=3").status_ == 303);
  CHECK(Shows(ann.Get("/review"), "classes / quote"));
  CHECK(Shows(ann.Post("/publish", "comment=first"), "<strong>Accepted"));
  const http::Reply lost = bob.Post("/publish", "");
  CHECK(Shows(lost, "<strong>Conflict"));
  CHECK(Shows(lost, "classes / quote"));
  CHECK(Shows(lost, "classes / bulk"));
  CHECK(bob.Post("/rebase", "").status_ == 303);
  CHECK(Shows(bob.Post("/publish", ""), "<strong>Accepted"));
  CHECK(Shows(bob.Get("/history"), "accepted as revision 2"));
}

TEST_CASE("console: a key is shown once and kept as its hash") {
  ConsoleBench bench;
  Browser ann(bench.console_->url());
  REQUIRE(ann.LogIn("ann", "secret"));
  ann.Post("/save", "list=classes&name=quote&tier=1");
  ann.Post("/save", "list=workspaces&name=w&classes=quote");
  const http::Reply shown = ann.Post("/add_key", "entry=w");
  const size_t start = shown.body_.find("<pre>bk-");
  REQUIRE(start != std::string::npos);
  const std::string key = shown.body_.substr(start + 5, 51);
  const http::Reply page = ann.Get("/edit?list=workspaces&entry=w");
  CHECK(!Shows(page, key));
  CHECK(Shows(page, config::HashWorkspaceKey(key)));
}

}  // namespace
}  // namespace bergamotscale::console
