# Second sendings as engines count them, and repeated calls to the store.
mutant "what is given up ends in good order" $s/relay/attempt.cpp \
  's/^    ResetOnClose\(mSocket->mSocket\);$/    ;/' \
  relay_relay_withdrawn_requests_test '*IsReset'
mutant "a peer ends in good order what was reset" $s/tunnel/carried_connection.cpp \
  's/^( *)ResetOnClose\(.*\);$/\1;/' \
  tunnel_tunnel_test '*AResetOfTheAsker*'
mutant "silent engines get second sendings" $s/routing/balancer.cpp \
  's/\(aQuery\.mHedge && !mUnanswered\.MayRepeatAt\(it\.mId, aNow\)\)/false/' \
  relay_relay_withdrawn_requests_test '*SecondSendings*'
mutant "half a head is an answer" $s/http/client.cpp \
  's/ \&\& !aTransfer\.mHeadEnded/ \&\& false/' \
  http_http_test '*'
mutant "late calls are repeated without end" $s/coordinator/coordinator.cpp \
  's/return mRepeats\.Level\(Now\(\)\) >= 1\.0;/return true;/' \
  coordinator_coordinator_dead_connections_test '*Repetitions*'
mutant "repetitions that were of use count" $s/coordinator/coordinator_logs.cpp \
  's/^  mRepeats\.Fill\(Now\(\)\);$//' \
  coordinator_coordinator_dead_connections_test '*DeadTwice'
