#include <boost/asio/ip/address.hpp>

#include "src/link/link.h"

namespace bergamotscale::link {
namespace {

constexpr size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;

}  // namespace

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const Error error(ErrorCode::kInvalidSettings,
                    "\"" + text + "\" is not of the form IP:PORT");
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return error;
  }
  const std::string digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() > kMaxPortDigits ||
      digits.find_first_not_of("0123456789") != std::string::npos) {
    return error;
  }
  const int port = std::stoi(digits);
  boost::system::error_code failure;
  const auto address =
      boost::asio::ip::make_address_v4(text.substr(0, colon), failure);
  if (failure || port > kMaxPort) {
    return error;
  }
  return Endpoint{address.to_string(), static_cast<uint16_t>(port)};
}

}  // namespace bergamotscale::link
