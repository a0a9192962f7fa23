/// A node loses its paths to all engines, goes through peers, and finds its way back.
#include "pepperbay/reach/proxy_choice.hpp"
#include "pepperbay/reach/way_book.hpp"

#include <iostream>

using namespace pepperbay;

int
main()
{
  ManualClock clock;
  WayBook ways;
  ProxyChoiceOptions options;
  options.mDataCentre = "levis";
  ProxyChoice peers(options);
  peers.SetPeers(std::make_shared<const ProxyPeers>(ProxyPeers{
    { "n2", "10.0.0.2:7340", "key", "levis" }, { "n3", "10.0.1.3:7340", "key", "beauport" } }));

  // A connection to an engine hangs, and a peer reaches the engine: it is the path.
  const TimePoint begun = clock.Now();
  clock.Advance(std::chrono::milliseconds(20));
  const ProxyPeer* peer = peers.Pick("levis", {}, clock.Now());
  std::cout << "through " << peer->mNode << "\n";
  ways.OnPathFault("engine-1", begun, clock.Now());
  std::cout << (ways.WayTo("engine-2", clock.Now()) == Way::kPeer ? "peers first\n" : "directly\n");

  // Connections of its own are tried now and then, until they stand.
  while (ways.Avoids()) {
    clock.Advance(std::chrono::milliseconds(10));
    if (ways.TakeProbe(clock.Now())) {
      ways.OnConnected(ways.EngineToTry(), clock.Now());
    }
  }
  std::cout << "own connections stand again\n";
  return ways.WayTo("engine-2", clock.Now()) == Way::kDirect ? 0 : 1;
}
