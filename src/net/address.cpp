#include "net/address.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace damsonspoke::net {

Poco::Net::SocketAddress parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  Poco::Net::IPAddress ip;
  const bool is_valid = colon != std::string::npos && Poco::Net::IPAddress::tryParse(host, ip) &&
                        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port).ptr ==
                            text.data() + text.size();
  if (!is_valid) throw std::runtime_error("'" + text + "' is not a numeric address:port");
  return Poco::Net::SocketAddress(ip, port);
}

}  // namespace damsonspoke::net
