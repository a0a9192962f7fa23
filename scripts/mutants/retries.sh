# The budget of second attempts of plain services, and kept connections that close; read by
# scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
retries=$s/retries
agent=retries_retry_agent_test
mutant "a keeper that takes over starts full" $retries/retry_budget_owner.cpp \
  's/TokenBucket\(options, mLease.mSince\)/TokenBucket(options, mLease.mSince - std::chrono::hours(1))/' $agent '*TheSumHolds*'
mutant "whoever kept the budget once goes on" $retries/retry_budget_owner.cpp \
  's/if \(!OwnsBudget\(aNow\) \|\|/if (/' $agent '*TheSumHolds*'
mutant "a question that is sent again is counted again" $retries/retry_agent.cpp \
  's/if \(before != mDecisions.end\(\)\)/if (false)/' $agent '*CountedOnce*'
mutant "what was earned is never spent" $s/admission/earned_retries.cpp \
  's/  \+\+Current\(aNow\).mTaken;//' $agent '*TheSumHolds*'
mutant "a request earns the whole share" $retries/retry_agent.cpp \
  's/mOptions.mLimits.mShare \* mOptions.mParts.mEarned/2.5 * mOptions.mLimits.mShare/' $agent '*TheSumHolds*'
mutant "nodes have whole parts of their own" $retries/local_retries.cpp \
  's/PerSecond\(mParts.mNodesRate\) \/ aNodes/PerSecond(mParts.mNodesRate)/; s/mParts.mNodesDepth \/ aNodes/mParts.mNodesDepth/' \
  $agent '*StayWithinTheirShare*'
mutant "the keeper is asked for ever" $retries/retry_agent.cpp \
  's/now - pending.mSent >= mOptions.mGiveUpAfter/false/' $agent '*OneTimeout*'
mutant "no keeper is asked" $retries/retry_agent.cpp \
  's/return !mFleet.mBudgetOwner.empty\(\) \&\&/return false \&\& !mFleet.mBudgetOwner.empty() \&\&/' $agent '*ASecondAttemptSoon*'
mutant "two keepers" $s/coordinator/coordinator_rate_leases.cpp \
  's/  if \(mStopping \|\| !mLease.Held\(\)\) \{/  if (mStopping) {/' coordinator_coordinator_limits_test '*TheHolderKeeps*'
mutant "second attempts go on kept connections" $s/relay/exchange_sending.cpp \
  's/ \|\| mAvoidsPooled//' relay_relay_pooled_connections_test '*AllPooled*'
mutant "a stale connection is the engine's fault" $s/relay/exchange_ends.cpp \
  's/aMayHaveRun \&\& !mCurrent.mStale/aMayHaveRun/' relay_relay_pooled_connections_test '*NotAvoided*'
mutant "the engine of a stale connection counts twice" $s/relay/exchange_ends.cpp \
  's/mSent - \(StaleEngine\(\) != nullptr \? 1 : 0\)/mSent/' relay_relay_pooled_connections_test '*OneAttempt*'
mutant "an end behind a kept connection is not noted" $s/relay/exchange_suspect.cpp \
  's/  if \(!aReached\) \{/  if (false) {/' relay_relay_pooled_connections_test '*Suspected*'
mutant "answers of a stopping server do not say close" $s/http/server.cpp \
  's/  if \(aClosing\) \{/  if (false) {/' http_http_test '*TellsItsCallers*'
mutant "a request earns at each desk that is asked" $s/places/slot_agent.cpp \
  's/  ask->set_counted\(aPending.mAllocatorsAsked > 0\);//' places_slot_agent_test '*EarnsOnce*'
mutant "a stream without a second attempt is cut at once" $s/dispatch/failure_step.cpp \
  's/waits \&\& RetryDenialReason/false \&\& RetryDenialReason/' relay_relay_retries_test 'RelayAwaited*'
mutant "what was broken off is sent over a kept connection" $s/relay/exchange_sending.cpp \
  's/ \|\| mAvoidsPooled//' relay_relay_pooled_connections_test '*GoesOnOverANewConnection*'
