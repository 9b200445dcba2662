#include "src/console/html.h"

#include <cpprest/uri.h>

namespace bergamotscale::console {

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char letter : text) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string QueryEscape(const std::string& text) {
  return web::uri::encode_data_string(text);
}

std::string HiddenInput(const std::string& name, const std::string& value) {
  return "<input type=\"hidden\" name=\"" + EscapeHtml(name) + "\" value=\"" +
         EscapeHtml(value) + "\">";
}

std::string ButtonForm(const std::string& action,
                       const std::string& label,
                       const std::string& inputs) {
  return "<form class=\"inline\" method=\"post\" action=\"" +
         EscapeHtml(action) + "\">" + inputs + "<button>" + EscapeHtml(label) +
         "</button></form>";
}

std::string RenderPage(const Frame& frame, const std::string& body) {
  std::string page =
      "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<meta name=\"viewport\" content=\"width=device-width\">"
      "<link rel=\"stylesheet\" href=\"/style.css\"><title>" +
      EscapeHtml(frame.title_) + " - bergamotscale</title></head><body>";
  page += "<header><strong>bergamotscale</strong>";
  if (!frame.operator_.empty()) {
    page += "<nav><a href=\"/\">Configuration</a><a href=\"/review\">Review";
    page += frame.has_changes_ ? " <span class=\"badge\">changes</span>" : "";
    page += "</a><a href=\"/history\">History</a></nav><span class=\"who\">" +
            EscapeHtml(frame.operator_) + "</span>" +
            ButtonForm("/logout", "Log out",
                       HiddenInput("csrf", frame.csrf_token_));
  }
  page += "</header><main><h1>" + EscapeHtml(frame.title_) + "</h1>" + body;
  return page + "</main></body></html>";
}

std::string StyleSheet() {
  return R"(
body { font: 15px/1.5 sans-serif; margin: 0; color: #1c2430; background: #f4f6f8; }
header { display: flex; gap: 1.5em; align-items: center; padding: .7em 2em;
  background: #1f3a4d; color: #fff; }
header a { color: #fff; margin-right: 1.2em; text-decoration: none; }
header .who { margin-left: auto; }
main { max-width: 64em; margin: 1.5em auto; padding: 0 1em; }
h1 { font-size: 1.5em; } h2 { font-size: 1.15em; margin: 1.6em 0 .4em; }
table { border-collapse: collapse; width: 100%; background: #fff; }
th, td { text-align: left; padding: .4em .7em; border: 1px solid #dde3e8;
  overflow-wrap: anywhere; }
th { background: #e9eef2; font-weight: 600; overflow-wrap: normal; }
form.fields { background: #fff; padding: 1.2em; border: 1px solid #dde3e8; }
.field { display: grid; grid-template-columns: 14em 18em 1fr; gap: .8em;
  margin-bottom: .7em; align-items: center; }
input[type=text], input[type=password], select { padding: .35em;
  border: 1px solid #aab6c0; border-radius: 3px; font: inherit; width: 100%;
  box-sizing: border-box; }
input.wrong { border-color: #b3261e; }
button { font: inherit; padding: .35em .9em; border: 1px solid #1f3a4d;
  border-radius: 3px; background: #fff; color: #1f3a4d; cursor: pointer; }
button.main { background: #1f3a4d; color: #fff; }
form.inline { display: inline-block; margin-right: .5em; }
main a { color: #1a5c8a; } form.fields a { margin-left: .8em; }
td form.inline { margin: 0; }
.error { color: #b3261e; } .hint { color: #5a6875; font-size: .9em; }
.box { padding: .8em 1.2em; background: #fff; border-left: 5px solid #7b8a97;
  margin: 1em 0; }
.box.good { border-color: #2e7d32; } .box.bad { border-color: #b3261e; }
.box.wait { border-color: #b26a00; }
.badge { background: #b26a00; color: #fff; border-radius: 3px;
  padding: 0 .4em; font-size: .85em; }
pre { background: #fff; border: 1px solid #dde3e8; padding: .8em;
  white-space: pre-wrap; overflow-wrap: anywhere; }
.added { color: #2e7d32; } .removed { color: #b3261e; }
.versions { display: grid; grid-template-columns: 1fr 1fr; gap: 1em; }
)";
}

}  // namespace bergamotscale::console
