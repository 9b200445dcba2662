#include "src/console/edit_actions.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/config/key_hash.h"
#include "src/console/html.h"
#include "src/console/pages.h"
#include "src/console/sections.h"

namespace bergamotscale::console {
namespace {

using nlohmann::json;
using settings::FieldErrors;

constexpr size_t kKeyBytes = 24;

void ReplyEdit(WebRequest& web,
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

}  // namespace

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

void SaveEntry(WebRequest& web, const SessionPtr& session, const Form& form) {
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

void RemoveEntry(WebRequest& web, const SessionPtr& session, const Form& form) {
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

}  // namespace bergamotscale::console
