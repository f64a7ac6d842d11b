// Addresses as the configuration writes them.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace damsonspoke::net {

// Numeric address:port only. Throws std::runtime_error that names the address.
Poco::Net::SocketAddress parse_address(const std::string& text);

}  // namespace damsonspoke::net
