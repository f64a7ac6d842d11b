// Parsing of the addresses in the configuration.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace damsonspoke::net {

// Parses a numeric address:port. Throws std::runtime_error, which names the address.
Poco::Net::SocketAddress parse_address(const std::string& text);

}  // namespace damsonspoke::net
