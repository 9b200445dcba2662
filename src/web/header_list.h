// Headers of forwarded requests and responses.
#ifndef BERGAMOTSCALE_SRC_WEB_HEADER_LIST_H_
#define BERGAMOTSCALE_SRC_WEB_HEADER_LIST_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace bergamotscale::web {

// An ordered list of headers. Names are case-insensitive.
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
  // @return roughly the memory that the list takes. A field of two characters
  // takes far more than these.
  size_t MemorySize() const;

  const std::vector<std::pair<std::string, std::string>>& all() const {
    return headers_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> headers_;
};

// @return the end-to-end headers: without the hop-by-hop headers of RFC 9110,
// those listed in Connection, and Content-Length.
HeaderList EndToEndHeaders(const boost::beast::http::fields& fields);

// @return roughly the memory that the parsed fields take.
size_t MemorySize(const boost::beast::http::fields& fields);

// @return whether two header names are equal, ignoring case.
bool SameName(std::string_view a, std::string_view b);

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_HEADER_LIST_H_
