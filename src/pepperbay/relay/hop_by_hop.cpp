#include "hop_by_hop.hpp"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {

const std::array<const char*, 9> kHopByHop = { "Connection",
                                               "Keep-Alive",
                                               "Proxy-Authenticate",
                                               "Proxy-Authorization",
                                               "Proxy-Connection",
                                               "TE",
                                               "Trailer",
                                               "Transfer-Encoding",
                                               "Upgrade" };

} // namespace

void
DropHopByHop(HeaderFields* aFields)
{
  // Headers listed in the Connection header are hop-by-hop as well.
  std::vector<std::string> named;
  for (const auto& it : http::token_list((*aFields)[http::field::connection])) {
    named.emplace_back(it);
  }
  for (const auto& it : named) {
    aFields->erase(it);
  }
  for (const char* it : kHopByHop) {
    aFields->erase(it);
  }
}

} // namespace pepperbay
