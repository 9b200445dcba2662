#include "src/web/header_list.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace bergamotscale::web {
namespace {

namespace http = boost::beast::http;

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view FromBeast(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsHopByHop(http::field name) {
  constexpr std::array kHopByHop = {http::field::connection,
                                    http::field::keep_alive,
                                    http::field::proxy_connection,
                                    http::field::proxy_authorization,
                                    http::field::te,
                                    http::field::trailer,
                                    http::field::transfer_encoding,
                                    http::field::upgrade,
                                    http::field::content_length,
                                    http::field::expect};
  return std::find(kHopByHop.begin(), kHopByHop.end(), name) != kHopByHop.end();
}

// What an allocation takes beyond its bytes.
constexpr size_t kAllocationOverhead = 16;
// The library keeps a parsed field in units of this size: at least one for its
// pointers and one for its text.
constexpr size_t kParsedFieldUnit = 64;

// @return the memory of a text beyond the string itself.
size_t AllocatedSize(const std::string& text) {
  return text.capacity() > std::string().capacity()
             ? text.capacity() + kAllocationOverhead
             : 0;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return boost::beast::iequals(ToBeast(a), ToBeast(b));
}

void HeaderList::Add(std::string_view name, std::string_view value) {
  headers_.emplace_back(std::string(name), std::string(value));
}

void HeaderList::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HeaderList::Remove(std::string_view name) {
  headers_.erase(
      std::remove_if(headers_.begin(), headers_.end(),
                     [name](const std::pair<std::string, std::string>& header) {
                       return SameName(header.first, name);
                     }),
      headers_.end());
}

std::string_view HeaderList::Find(std::string_view name) const {
  for (const auto& [header, value] : headers_) {
    if (SameName(header, name)) {
      return value;
    }
  }
  return {};
}

bool HeaderList::Has(std::string_view name) const {
  return std::any_of(headers_.begin(), headers_.end(),
                     [name](const std::pair<std::string, std::string>& header) {
                       return SameName(header.first, name);
                     });
}

size_t HeaderList::MemorySize() const {
  size_t size =
      headers_.capacity() * sizeof(std::pair<std::string, std::string>);
  for (const auto& [name, value] : headers_) {
    size += AllocatedSize(name) + AllocatedSize(value);
  }
  return size;
}

size_t MemorySize(const http::fields& fields) {
  size_t size = 0;
  for (const auto& field : fields) {
    const size_t text = field.name_string().size() + field.value().size();
    size +=
        kParsedFieldUnit * (2 + text / kParsedFieldUnit) + kAllocationOverhead;
  }
  return size;
}

HeaderList EndToEndHeaders(const http::fields& fields) {
  http::token_list connection_options{fields[http::field::connection]};
  HeaderList kept;
  for (const auto& field : fields) {
    if (!IsHopByHop(field.name()) &&
        !connection_options.exists(field.name_string())) {
      kept.Add(FromBeast(field.name_string()), FromBeast(field.value()));
    }
  }
  return kept;
}

}  // namespace bergamotscale::web
