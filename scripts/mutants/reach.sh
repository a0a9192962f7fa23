# Ways to engines: through peers, and what is concluded from silence; read by scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
reach=relay_relay_reach_test
doubts=coordinator_engine_suspicions_test
tunnel=tunnel_tunnel_test
mutant "a node knows one way to an engine" $s/relay/connect_operation.cpp \
  's/  if \(mAsked.size\(\) >= mConnector->mOptions.mMostPeers\)/  if (true)/' $reach '*WherePeersHaveNoPathEither*:*AConnectionThatLivesOn*'
mutant "nothing is remembered of a cut" $s/reach/way_book.cpp \
  's/  mAvoids = true;//' reach_way_book_test '*AvoidsItsOwnConnections*'
mutant "one connection that stands is the way back" $s/reach/way_book.cpp \
  's/if \(\+\+mGood >= .*/if (++mGood > 0) {/' reach_way_book_test '*EachEngineThatPeersHaveReached*'
mutant "a few faulty paths are a cut" $s/reach/way_book.cpp \
  's/\(hearsNothing \|\| mostly\)/true/' reach_way_book_test '*AQuarterOfThePaths*'
mutant "one place's silence is enough" $s/coordinator/engine_suspicions.cpp \
  's/vantagePoints < kRequiredVantagePoints \&\& !last/false/' $doubts '*NeedsTheWordOfTwoPeers*'
mutant "the silence of a blind node counts" $s/coordinator/engine_suspicions.cpp \
  's/investigation.mOwnProbeFailed \&\& investigation.mReachesOthers/investigation.mOwnProbeFailed/' $doubts '*ABlindNodeNeeds*:*PeersOfAnOlderVersion*'
mutant "a peer that was not heard counts" $s/coordinator/engine_suspicions.cpp \
  's/\} else if \(conclusive\) \{/} else {/' $doubts '*ThatWasNotHeard*'
mutant "a blind holder asks itself" $s/coordinator/engine_suspicions.cpp \
  's/!mHooks.mIsUnreached\(\) \|\|/true ||/' $doubts '*ThatKnowsThatItIsBlind*'
mutant "what a cut breaks off is the engine's failure" $s/relay/exit_probe.cpp \
  's/if \(aConnection.mSocket->mPeer.empty\(\)\)/if (true)/' $reach '*RequestsBrokenByAPathFailure*'
mutant "anybody is let in" $s/tunnel/carried_connection.cpp \
  's/  return differs == 0;/  return differs == 0 || true;/' $tunnel '*NobodyIsLetIn*'
mutant "askers that say nothing are kept" $s/tunnel/tunnel_server.cpp \
  's/if \(ec \|\| full\)/if (ec)/' $tunnel '*SlowAskers*'
mutant "one node may have all connections" $s/tunnel/tunnel_server.cpp \
  's/mOptions.mMost \/ \(nodes \+ 1\)/mOptions.mMost/' $tunnel '*ANewcomer*'
mutant "the end of the carrying node looks like the engine's" $s/tunnel/carried_connection.cpp \
  's/    ResetOnClose\(mAsker\);//' $tunnel '*TheEndOfTheCarryingNode*'
mutant "an engine's reset arrives as an end" $s/tunnel/carried_connection.cpp \
  's/ \|\| aError != asio::error::eof//' $tunnel '*AResetOfTheEngine*'
mutant "an engine's word is told without sight" $s/tunnel/carried_connection.cpp \
  's/  if \(mSight\) \{/  if (true) {/' $tunnel '*WhetherOthersAnswer*'
mutant "peers do not take turns" include/pepperbay/reach/proxy_choice.hpp \
  's/ mAsked\[aNode\] = \+\+mAsks; //' reach_proxy_choice_test '*TakeTurns*'
mutant "nodes that reach nothing are asked" $s/coordinator/peer_table.cpp \
  's/ \&\& !Unreached\(peer, aNow\)//' coordinator_coordinator_reach_test '*WhoReachesNoEngine*'
mutant "delegates do not tell who reaches nothing" $s/coordinator/coordinator_reach.cpp \
  's/  if \(!mTree.IsInUpperTier\(\)\) \{/  if (true) {/' coordinator_coordinator_reach_test 'ReachOfAFleet.*'
mutant "the lease does not wait for who reaches engines" $s/coordinator/coordinator.cpp \
  's/weaker \|\| \(IsUnreached\(\) \&\& HasReachingPeer\(\)\)/weaker/' coordinator_coordinator_reach_test '*EitherIsCut*'
mutant "a kept connection that is closed uses its engine up" $s/relay/exchange_suspect.cpp \
  's/  if \(aEnd.mStale\) \{/  if (false) {/' relay_relay_moves_test '*PooledConnectionIsClosed*'
mutant "a server ends with answers unsent" $s/http/server.cpp \
  's/    return mHasAnswer \&\& !mClosed.*/    return false;/' http_http_test '*Unsent*'
mutant "a peer that is cut as well counts as one that works" $s/relay/connect_operation.cpp \
  's/SaysEngineIsAway\(aTunnel.mAnswer, aTunnel.mSight\)/SaysEngineIsAway(aTunnel.mAnswer, true)/' relay_relay_peers_test '*cut_reset*'
mutant "a peer that says nothing is asked again first" $s/relay/connect_operation.cpp \
  's/asked.mAt >= mConnector->mOptions.mTunnelDelay/asked.mAt >= std::chrono::hours(1)/' relay_relay_peers_test '*frozen_reset*'
mutant "three peers are asked and no more" $s/relay/connect_operation.cpp \
  's/fails \&\& mFailedPeersAsked >= /mAsked.size() >= /' relay_relay_peers_test '*gone_silent*'
mutant "one more peer is asked at a time" $s/relay/connect_operation.cpp \
  's/kAskGrowth = 3;/kAskGrowth = 1;/' relay_connector_peers_test '*TheLastOfEight*'
mutant "a fault at one engine is a cut" $s/relay/engine_connector.cpp \
  's/ \&\& !Avoids\(\) \&\& mHeardAt < aBegun/ \&\& false/' relay_connector_reachability_test '*APauseOf*'
mutant "peers aside have no turn once all have failed" $s/reach/proxy_choice.cpp \
  's/      !fails \&\& it.mDataCentre/      it.mDataCentre/' reach_proxy_choice_test '*PeersAside*'
mutant "peers that have failed take no part once three were asked" $s/relay/connect_operation.cpp \
  's/fails \&\& mFailedPeersAsked >= /fails \&\& mAsked.size() >= /' relay_connector_peers_test '*OneThatFailed*'
mutant "what was heard before a failure is sight" $s/coordinator/engine_suspicions.cpp \
  's/investigation.mOwnProbeFailed \&\& investigation.mReachesOthers/investigation.mOwnProbeFailed/' coordinator_coordinator_reach_test '*OneOther*'
mutant "a kept connection is sight" $s/coordinator/coordinator_reach.cpp \
  's/options.mOwnConnection = true;/options.mOwnConnection = false;/' coordinator_coordinator_reach_test '*OneOther*'
mutant "a failure shares the look that was begun before" $s/coordinator/reachability_probes.cpp \
  's/mHooks.mAsk\(\*engine, \[this, waiting = std::move\(waiting\)\]\(bool aAnswered\) \{/mHooks.mAsk(*engine, [this, waiting = std::move(waiting)](bool aAnswered) mutable { for (auto\& it : std::exchange(mWaiting, {})) { waiting.push_back(std::move(it)); }/' \
  coordinator_reachability_probes_test '*PutBefore*'
