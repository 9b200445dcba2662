// HTML text of the console's pages.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_HTML_H_
#define BERGAMOTSCALE_SRC_CONSOLE_HTML_H_

#include <string>

namespace bergamotscale::console {

// @return text with the characters that mean something in HTML replaced, safe
// in element content and in quoted attributes.
std::string Escape(const std::string& text);

// @return the text as one query value of a URL.
std::string QueryEscape(const std::string& text);

// What the frame around a page shows.
struct Frame {
  std::string title_;
  // Empty if nobody is logged in.
  std::string operator_;
  std::string csrf_token_;
  // Whether the operator has changes that are not published.
  bool has_changes_ = false;
};

// @return a whole page. @param body HTML.
std::string RenderPage(const Frame& frame, const std::string& body);

// @return the style sheet of all pages.
std::string StyleSheet();

// @return a hidden input.
std::string HiddenInput(const std::string& name, const std::string& value);

// @return a form of one button that posts hidden inputs (HTML).
std::string ButtonForm(const std::string& action,
                       const std::string& label,
                       const std::string& inputs);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_HTML_H_
