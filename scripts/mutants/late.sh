# Nodes that are late, or that are told late: looks at the store, misses, calls to engines; read by
# scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
c=$s/coordinator
mutant "the pause between looks has one bound for all" $c/coordinator_logs.cpp \
  's/old \? mOptions.mBounds.mMaxDirectReadPause : mOptions.mMaxOutageProbePause/mOptions.mMaxOutageProbePause/' \
  coordinator_coordinator_readers_test '*AnswersAgainIsInTime*'
mutant "a list that is needed waits for the next look" $c/coordinator_logs.cpp \
  's/if \(FollowerOf\(log\).NeedsList\(\)\)/if (!FollowerOf(log).HasList())/' \
  coordinator_coordinator_readers_test '*ALookThatFinds*'
mutant "long feeds are not split" $c/coordinator_logs.cpp \
  's/const bool splits = .*/const bool splits = false;/' \
  coordinator_coordinator_readers_test '*FillManyMessages*'
mutant "a miss by an old view is a refusal" $s/relay/exchange.cpp \
  's/if \(mCore->Now\(\) >= aPlan.mMissesValidUntil\)/if (false)/' \
  relay_relay_test '*AMissInAConfiguration*'
mutant "any number of orders at once" $c/coordinator_pools.cpp \
  's/view.mMaxOrders = .*//' coordinator_coordinator_many_engines_test '*APoolForms*'
mutant "the window of calls does not shrink" $c/engine_calls.cpp \
  's/mWindow = std::max\(mWindow \/ 2, mOptions.mMinWindow\);//' coordinator_engine_calls_test '*Fewer*'
mutant "a late end is the engine's silence" $c/engine_calls.cpp \
  's/const bool unread = .*/const bool unread = false;/' coordinator_engine_calls_test '*ToldLate*'
mutant "an unheard question makes an engine lost" $c/engine_suspicions.cpp \
  's/if \(!answered \&\& unheard\)/if (false)/' coordinator_engine_suspicions_test '*CouldNotBeHeard*'
mutant "an unread order counts as unanswered" $s/placement/group_planner_orders.cpp \
  's/aAnswer == OrderAnswer::kNone \&\& \+\+pending/++pending/' \
  placement_group_planner_test '*ReadTooLate*'
mutant "the client looks at the time first" $s/http/client.cpp \
  's/const TimePoint looked = mOptions.mNow\(\);/const TimePoint looked = mOptions.mNow(); GiveUp(looked);/' \
  http_http_test '*ThoughItsTimeIsOver*'
mutant "rounds take all of the holder's time" $c/round_pace.hpp \
  's/took \/ mOptions.mMaxShare - took/took * 0/' coordinator_round_pace_test '*LongRounds*'
mutant "weights are loaded ahead everywhere" $s/placement/group_planner_spares.cpp \
  's/if \(!mView->mTraffic \|\| mDomainsWithLosses/if (mView->mTraffic || mDomainsWithLosses/' \
  placement_group_planner_loads_test '*LoadedAhead*'
