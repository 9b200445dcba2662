#include "src/console/pages.h"

#include <ctime>

#include "src/console/html.h"

namespace bergamotscale::console {
namespace {

using config::PublicationOutcome;
using config::PublishResult;
using config::PublishState;
using nlohmann::json;
using settings::FieldError;
using settings::FieldErrors;

constexpr int kIndent = 2;
constexpr int64_t kMillisPerSecond = 1000;
constexpr Millis kStaleAfter = Millis(5000);

std::string NumberText(int64_t value) {
  return std::to_string(value);
}

std::string TimeText(Millis since_epoch) {
  const auto seconds =
      static_cast<std::time_t>(since_epoch.count() / kMillisPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &parts);
  return {text, size};
}

std::string Box(const std::string& kind, const std::string& html) {
  return "<div class=\"box " + kind + "\">" + html + "</div>";
}

std::string LogNotice(const LogState& log) {
  if (log.caught_up_ && log.staleness_ < kStaleAfter) {
    return {};
  }
  return Box("wait",
             "The log service has not been read for " +
                 NumberText(log.staleness_.count() / kMillisPerSecond) +
                 " s. What is shown may be old; publications will be pending "
                 "until it answers.");
}

// @return the text of a member in the overview; "set" for any password.
std::string CellText(const Field& field, const json& entry) {
  if (field.kind_ == FieldKind::kPassword) {
    return "set";
  }
  const std::string text = FieldText(field, entry);
  return field.kind_ == FieldKind::kBoolean && text.empty() ? "no" : text;
}

std::string EditLink(const Section& section,
                     const std::string& name,
                     const std::string& label) {
  return "<a href=\"/edit?list=" + QueryEscape(section.list_) +
         "&amp;entry=" + QueryEscape(name) + "\">" + EscapeHtml(label) + "</a>";
}

std::string SectionTable(const Section& section, const json& entries) {
  std::string html = "<h2>" + EscapeHtml(section.title_) + "</h2>";
  if (!entries.empty()) {
    html += "<table><tr>";
    for (const Field& field : section.fields_) {
      html += "<th>" + EscapeHtml(field.label_) + "</th>";
    }
    html += "</tr>";
    for (const json& entry : entries) {
      html += "<tr>";
      for (const Field& field : section.fields_) {
        const std::string text = CellText(field, entry);
        const bool is_name = std::string(field.key_) == section.name_key_;
        html += "<td>" +
                (is_name ? EditLink(section, text, text) : EscapeHtml(text)) +
                "</td>";
      }
      html += "</tr>";
    }
    html += "</table>";
  }
  return html + "<p>" +
         EditLink(section, "", std::string("New ") + section.entry_title_) +
         "</p>";
}

std::string ErrorsFor(const std::string& key, const FieldErrors& errors) {
  std::string html;
  for (const FieldError& error : errors) {
    if (error.key_ == key) {
      html += "<span class=\"error\">expected " + EscapeHtml(error.expected_) +
              "</span> ";
    }
  }
  return html;
}

std::string GroupKindInput(const std::string& attributes,
                           const std::string& value) {
  std::string html = "<select " + attributes + ">";
  for (const char* kind : {"engine", "service"}) {
    html += "<option" + std::string(value == kind ? " selected" : "") + ">" +
            kind + "</option>";
  }
  return html + "</select>";
}

std::string InputFor(const Field& field,
                     const std::string& value,
                     bool is_wrong) {
  const std::string key = EscapeHtml(field.key_);
  const std::string attributes = "id=\"" + key + "\" name=\"" + key + "\"";
  if (field.kind_ == FieldKind::kBoolean) {
    return "<input type=\"checkbox\" value=\"yes\" " + attributes +
           (value.empty() ? "" : " checked") + ">";
  }
  if (field.kind_ == FieldKind::kGroupKind) {
    return GroupKindInput(attributes, value);
  }
  const bool is_password = field.kind_ == FieldKind::kPassword;
  return "<input type=\"" + std::string(is_password ? "password" : "text") +
         "\" " + attributes + (is_wrong ? " class=\"wrong\"" : "") +
         " value=\"" + EscapeHtml(value) + "\">";
}

std::string FieldRow(const Field& field,
                     const json& entry,
                     const FieldErrors& errors) {
  const std::string error = ErrorsFor(field.key_, errors);
  std::string html =
      "<div class=\"field\"><label for=\"" + EscapeHtml(field.key_) + "\">" +
      EscapeHtml(field.label_) + "</label><div>" +
      InputFor(field, FieldText(field, entry), !error.empty()) + "</div><div>";
  html += error.empty()
              ? "<span class=\"hint\">" + EscapeHtml(field.hint_) + "</span>"
              : error;
  return html + "</div></div>";
}

// @return the list of a workspace's keys, shown by their hashes.
std::string KeysHtml(const std::string& workspace,
                     const json& entry,
                     const std::string& csrf) {
  const std::string owner = csrf + HiddenInput("entry", workspace);
  std::string html = "<h2>Keys</h2><table>";
  for (const json& hash : entry.value("key_hashes", json::array())) {
    const auto text = hash.get<std::string>();
    html +=
        "<tr><td>" + EscapeHtml(text) + "</td><td>" +
        ButtonForm("/remove_key", "Remove", owner + HiddenInput("hash", text)) +
        "</td></tr>";
  }
  return html + "</table><p>" + ButtonForm("/add_key", "Add a key", owner) +
         "</p>";
}

std::string ChangesTable(const std::vector<Change>& changes) {
  if (changes.empty()) {
    return "<p>No differences.</p>";
  }
  std::string html =
      "<table><tr><th>Where</th><th>Before</th><th>After</th></tr>";
  for (const Change& change : changes) {
    html += "<tr><td>" + EscapeHtml(change.where_) +
            "</td><td class=\"removed\">" + EscapeHtml(change.before_) +
            "</td><td class=\"added\">" + EscapeHtml(change.after_) +
            "</td></tr>";
  }
  return html + "</table>";
}

std::string ConflictHtml(const PublishResult& result,
                         const Draft& draft,
                         const json& current,
                         const std::string& csrf) {
  std::string html =
      Box("bad",
          "<strong>Conflict.</strong> Your changes were made from revision " +
              NumberText(draft.base_revision().value()) + ", but revision " +
              NumberText(result.revision_.value()) +
              " is in force by now. Nothing of yours was published, nor "
              "will it be, under the id " +
              EscapeHtml(result.id_.value()) + ".");
  html += "<h2>What the others changed</h2>" +
          ChangesTable(CompareDocuments(draft.base(), current));
  html += "<h2>What you changed</h2>" +
          ChangesTable(CompareDocuments(draft.base(), draft.document()));
  html += "<p>" +
          ButtonForm("/rebase", "Move my changes onto what is in force", csrf) +
          " " + ButtonForm("/discard", "Discard my changes", csrf) + "</p>";
  html += "<div class=\"versions\"><div><h2>In force</h2><pre>" +
          EscapeHtml(current.dump(kIndent)) +
          "</pre></div><div><h2>Yours</h2><pre>" +
          EscapeHtml(draft.document().dump(kIndent)) + "</pre></div></div>";
  return html;
}

std::string PublicationLink(const std::string& id) {
  return "<a href=\"/publication?id=" + QueryEscape(id) + "\">" +
         EscapeHtml(id) + "</a>";
}

std::string OutcomeText(const PublicationOutcome& outcome) {
  return outcome.accepted_
             ? "accepted as revision " + NumberText(outcome.revision_.value())
             : "conflict: revision " + NumberText(outcome.revision_.value()) +
                   " was in force";
}

}  // namespace

std::string LoginBody(const std::string& csrf, const std::string& error) {
  std::string html;
  if (!error.empty()) {
    html += Box("bad", EscapeHtml(error));
  }
  return html + "<form class=\"fields\" method=\"post\" action=\"/login\">" +
         csrf +
         "<div class=\"field\"><label for=\"name\">Operator</label><div>"
         "<input type=\"text\" id=\"name\" name=\"name\"></div></div>"
         "<div class=\"field\"><label for=\"password\">Password</label><div>"
         "<input type=\"password\" id=\"password\" name=\"password\">"
         "</div></div><button class=\"main\">Log in</button></form>";
}

std::string OverviewBody(const Draft& draft, const LogState& log) {
  std::string html =
      LogNotice(log) + "<p>Revision " + NumberText(log.revision_.value()) +
      " is in force. " +
      (draft.HasChanges()
           ? "You see it with your changes, which were made from revision " +
                 NumberText(draft.base_revision().value()) + "."
           : std::string()) +
      "</p>";
  for (const Section& section : Sections()) {
    html += SectionTable(section, draft.document()[section.list_]);
  }
  return html;
}

std::string EditBody(const Section& section,
                     const std::string& name,
                     const json& entry,
                     const FieldErrors& errors,
                     const std::string& csrf) {
  std::string html;
  const std::string list_errors = ErrorsFor("", errors);
  if (!list_errors.empty()) {
    html += Box("bad", std::string(section.title_) + ": " + list_errors);
  }
  const std::string target =
      csrf + HiddenInput("list", section.list_) + HiddenInput("entry", name);
  html += "<form class=\"fields\" method=\"post\" action=\"/save\">" + target;
  for (const Field& field : section.fields_) {
    html += FieldRow(field, entry, errors);
  }
  html +=
      "<button class=\"main\">Keep as a change</button> "
      "<a href=\"/\">Cancel</a></form>";
  if (name.empty()) {
    return html;
  }
  if (std::string(section.list_) == "workspaces") {
    html += KeysHtml(name, entry, csrf);
  }
  return html + "<p>" +
         ButtonForm("/remove",
                    std::string("Remove this ") + section.entry_title_,
                    target) +
         "</p>";
}

std::string NewKeyBody(const std::string& workspace, const std::string& key) {
  return Box("good", "A key for " + EscapeHtml(workspace) +
                         ". It is shown only now; the configuration keeps "
                         "its hash. It works once your changes are in force.") +
         "<pre>" + EscapeHtml(key) + "</pre><p>" +
         EditLink(*FindSection("workspaces"), workspace, "Back") + "</p>";
}

std::string ReviewBody(const Draft& draft,
                       const LogState& log,
                       const std::string& csrf) {
  std::string html = LogNotice(log) + "<p>Your changes from revision " +
                     NumberText(draft.base_revision().value()) + "; revision " +
                     NumberText(log.revision_.value()) + " is in force.</p>";
  html += ChangesTable(CompareDocuments(draft.base(), draft.document()));
  const FieldErrors errors = draft.Check();
  if (!errors.empty()) {
    std::string list;
    for (const FieldError& error : errors) {
      list += "<div>" + EscapeHtml(error.key_) + ": expected " +
              EscapeHtml(error.expected_) + "</div>";
    }
    html += Box("bad", "To mend before publishing:" + list);
  } else if (draft.HasChanges()) {
    html +=
        "<h2>Publish</h2><form class=\"fields\" method=\"post\" "
        "action=\"/publish\">" +
        csrf +
        "<div class=\"field\"><label for=\"comment\">Comment</label><div>"
        "<input type=\"text\" id=\"comment\" name=\"comment\"></div></div>"
        "<button class=\"main\">Publish</button></form>";
  }
  if (draft.HasChanges()) {
    html +=
        "<p>Until they are published your changes are kept by this console "
        "alone, and lost when it restarts.</p>";
    html += "<p>" + ButtonForm("/discard", "Discard my changes", csrf) + "</p>";
  }
  return html;
}

std::string ResultBody(const PublishResult& result,
                       const Draft& draft,
                       const json& current,
                       const std::string& csrf) {
  switch (result.state_) {
    case PublishState::kAccepted:
      return Box("good", "<strong>Accepted</strong> as revision " +
                             NumberText(result.revision_.value()) +
                             ", under the id " +
                             PublicationLink(result.id_.value()) + ".");
    case PublishState::kConflict:
      return ConflictHtml(result, draft, current, csrf);
    case PublishState::kPending:
      return Box("wait",
                 "<strong>Pending.</strong> The log can't say yet what became "
                 "of the publication " +
                     PublicationLink(result.id_.value()) +
                     ". It may still be accepted: look there before you "
                     "publish again. Your changes are kept.");
    case PublishState::kNotPublished:
      return Box("bad",
                 "<strong>Not published.</strong> Nothing was "
                 "appended. " +
                     EscapeHtml(result.detail_) + " Your changes are kept.");
  }
  return {};
}

std::string HistoryBody(const std::vector<PublicationOutcome>& history) {
  std::string html =
      "<table><tr><th>Time, UTC</th><th>Outcome</th><th>From</th>"
      "<th>Operator</th><th>Comment</th><th>Publication</th></tr>";
  for (auto outcome = history.rbegin(); outcome != history.rend(); ++outcome) {
    html += "<tr><td>" + TimeText(outcome->time_) + "</td><td>" +
            OutcomeText(*outcome) + "</td><td>" +
            NumberText(outcome->base_.value()) + "</td><td>" +
            EscapeHtml(outcome->author_) + "</td><td>" +
            EscapeHtml(outcome->comment_) + "</td><td>" +
            PublicationLink(outcome->id_.value()) + "</td></tr>";
  }
  return html + "</table>";
}

std::string PublicationBody(const std::string& id,
                            const std::optional<PublicationOutcome>& outcome) {
  if (!outcome) {
    return Box("wait", "The log shows no publication " + EscapeHtml(id) +
                           " as far as it has been read. A pending one may "
                           "still appear.");
  }
  return Box(outcome->accepted_ ? "good" : "bad",
             EscapeHtml(id) + ": " + OutcomeText(*outcome) + ", by " +
                 EscapeHtml(outcome->author_) + ".");
}

}  // namespace bergamotscale::console
