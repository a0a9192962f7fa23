# Limits that engines name: who counts, what may be sent, what an answer says; read by
# scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
places=$s/places
engines=places_limited_engines_test
ledger=places_rate_ledger_test
leases=coordinator_rate_leases_test
mutant "a limit is not looked at" $places/slot_limits.cpp \
  's/  return mPlan \&\& \(!mBalancer.*/  return false;/' $engines '*GetsNoMoreThanItsLimit*'
mutant "a desk's grant is used though it has not counted" $places/slot_limits.cpp \
  's/if \(answer.limit\(\).has_per_second\(\) \|\| own == nullptr/if (true || own == nullptr/' $engines '*TheSumHolds*'
mutant "whoever counted once goes on" $places/rate_ledger.cpp \
  's/ \&\& aNow < it->second.mUntil//' $ledger '*WithoutTheLease*'
mutant "the right that has run out is used by a desk that stood still" $places/rate_ledger.cpp \
  's/ \&\& aNow < it->second.mUntil//' $engines '*AnAllocatorThatWasFrozen*'
mutant "what was there before a break is kept" $places/rate_ledger.cpp \
  's/account.mBucket.Empty\(aNow\);//' $ledger '*StartsEmptyAfterABreak*'
mutant "a bucket starts full" $s/admission/token_bucket.cpp \
  's/  , mAt\(aNow\)/  , mLevel(aOptions.mDepth)\n  , mAt(aNow)/' admission_token_bucket_test '*StartsEmpty*'
mutant "own parts are kept until they are used" $places/local_share.cpp \
  's/into < mOptions.mOpenFor \&\& //' $ledger '*StayWithinTheirs*'
mutant "nodes' own parts begin at the same moment" $places/local_share.cpp \
  's/Duration\(phase\)/Duration(0)/; s/const auto phase/[[maybe_unused]] const auto phase/' $ledger '*StayWithinTheirs*'
mutant "a limit of zero is never tried again" $places/rate_ledger.cpp \
  's/std::max\(aPerSecond \* mOptions.mCountedShare, mOptions.mMinPerSecond\);/aPerSecond * mOptions.mCountedShare;/' \
  $ledger '*ZeroIsTried*'
mutant "an answer that overtook another counts" $s/routing/engine_limit_table.cpp \
  's/    return aStatement.mLeft \+ EngineLimitTable::kOrderSlack > aThan.mLeft;/    return true;/' \
  routing_engine_limit_table_test '*AnAnswerToAnEarlierRequest*'
mutant "a quicker answer lifts a limit that was named since" $s/routing/engine_limit_table.cpp \
  's/ \&\&$/ \&\& true ||/; s/         aStatement.mAnswered > aThan.mAnswered;/         false;/' \
  routing_engine_limit_table_test '*AnswerThatCameBefore*'
mutant "a former start's limit holds" $s/routing/engine_limit_table.cpp \
  's/it != mEntries.end\(\) \&\& it->second.mBorn == aBorn/it != mEntries.end()/' routing_engine_limit_table_test '*OneIncarnationOnly*'
mutant "desks are not told that a limit is over" $places/slot_limits.cpp \
  's/if \(aGrant.mPerSecond != aStatement.mPerSecond\)/if (aStatement.mPerSecond)/' $engines '*ChangesAndEnds*'
mutant "a new holder gives the right at once" $s/coordinator/rate_leases.cpp \
  's/mFrom = EndOf\(aNow\);/mFrom = aNow;/' $leases '*NeverTwo*:*AtMostOne*:*NewHolderWaits*'
mutant "an unsure holder gives the right" $s/coordinator/coordinator_rate_leases.cpp \
  's/!mLease.Held\(\)/!MayOrder()/' coordinator_coordinator_limits_test '*AtMostOneNodeCounts*'
mutant "the right counts from when its answer comes" $s/coordinator/rate_leases.cpp \
  's/const TimePoint until = aAskedAt \+ aLength;/const TimePoint until = aNow + aLength;/' $leases '*AtMostOne*:*GivenLate*'
mutant "a desk that few follow keeps the right" $s/coordinator/rate_leases.cpp \
  's/if \(!free \|\| outranked\)/if (!free)/; s/const bool outranked/[[maybe_unused]] const bool outranked/' $leases '*FewFollow*'
mutant "bulk goes before those who wait" $places/rate_ledger.cpp \
  's/!queue->second.mTurns.IsOutranked\(aClaimant, aNow\);/true;/' $ledger '*BulkWaits*'
