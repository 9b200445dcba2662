// Headers of requests and answers that pass through.
#ifndef BERGAMOTSCALE_SRC_WEB_HEADER_LIST_H_
#define BERGAMOTSCALE_SRC_WEB_HEADER_LIST_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace bergamotscale::web {

// Headers in their order; names match in any case.
// Thread safety: as std::vector.
class HeaderList {
 public:
  void Add(std::string_view name, std::string_view value);
  // Replaces all headers of that name.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  // @return the first value of that name; empty if there is none.
  // Lifetime: until the next change.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& all() const {
    return headers_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> headers_;
};

// @return the headers that concern more than one connection: without those
// that RFC 9110 calls hop-by-hop, those that Connection names, and the length.
HeaderList EndToEndHeaders(const boost::beast::http::fields& fields);

// @return whether two header names are the same.
bool SameName(std::string_view a, std::string_view b);

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_HEADER_LIST_H_
