#include "src/console/form.h"

#include <algorithm>
#include <exception>

#include <cpprest/uri.h>

namespace bergamotscale::console {
namespace {

std::string Decode(std::string text) {
  std::replace(text.begin(), text.end(), '+', ' ');
  return web::uri::decode(text);
}

}  // namespace

Form Form::Parse(const std::string& body) {
  Form form;
  for (const auto& [name, value] : web::uri::split_query(body)) {
    try {
      form.values_[Decode(name)] = Decode(value);
    } catch (const std::exception&) {
      continue;  // invalid percent-encoding
    }
  }
  return form;
}

std::string Form::Get(const std::string& name) const {
  const auto found = values_.find(name);
  return found == values_.end() ? std::string() : found->second;
}

}  // namespace bergamotscale::console
