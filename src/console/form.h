// Values of a posted HTML form.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_FORM_H_
#define BERGAMOTSCALE_SRC_CONSOLE_FORM_H_

#include <map>
#include <string>

namespace bergamotscale::console {

// The decoded fields of a form.
// Thread safety: const calls are safe concurrently.
class Form {
 public:
  Form() = default;

  // Parses application/x-www-form-urlencoded text. Fields with an invalid
  // percent-encoding are skipped.
  static Form Parse(const std::string& body);

  // @return the value of a field; empty if there is none.
  std::string Get(const std::string& name) const;
  bool Has(const std::string& name) const { return values_.count(name) > 0; }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_FORM_H_
