// Generates the HTML that all pages of the console share.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_HTML_H_
#define BERGAMOTSCALE_SRC_CONSOLE_HTML_H_

#include <string>

namespace bergamotscale::console {

// @return the text with HTML's special characters replaced by entities, safe in
// element content and in quoted attributes.
std::string EscapeHtml(const std::string& text);

// @return the text, percent-encoded as a query value of a URL.
std::string QueryEscape(const std::string& text);

// The contents of the header and navigation around a page.
struct Frame {
  std::string title_;
  // Empty if nobody is logged in.
  std::string operator_;
  std::string csrf_token_;
  // Whether the operator has unpublished changes.
  bool has_changes_ = false;
};

// @return a complete page. @param body HTML of its content.
std::string RenderPage(const Frame& frame, const std::string& body);

// @return the style sheet of all pages.
std::string StyleSheet();

// @return a hidden input.
std::string HiddenInput(const std::string& name, const std::string& value);

// @return a form with one button.
// @param inputs HTML of the hidden inputs that the button posts.
std::string ButtonForm(const std::string& action,
                       const std::string& label,
                       const std::string& inputs);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_HTML_H_
