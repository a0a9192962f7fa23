# Mechanisms of the product's own path; read by scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
mutant "claim need not name the last one" $s/state/fold.cpp \
  's/if \(aClaim.previous\(\) != last\)/if (false)/' lease_keeper_test '*NeverTwoHolders*'
mutant "lease counted from the last send" $s/lease/keeper.cpp \
  's/mValidUntil = mFirstSent/mValidUntil = mLastSent/' lease_keeper_test '*NeverTwoHolders*'
mutant "challenger waits half a lease" $s/lease/keeper.cpp \
  's/mSeenAt \+ mOptions.mLength \+ margin/mSeenAt + mOptions.mLength \/ 2/' lease_keeper_test '*NeverTwoHolders*'
mutant "no drift margin" $s/lease/keeper.cpp \
  's/mOptions.mDriftPermille \/ kPermille/0/' lease_keeper_test '*DriftMargin*'
mutant "publish without version check" $s/state/fold.cpp \
  's/if \(version != aPublish.expected_version\(\)\)/if (false)/' state_fold_test '*OneWinner*'
mutant "duplicate records pass" $s/state/fold.cpp \
  's/^  if \(older\) \{/  if (false) {/' state_fold_test '*AnyHistory*'
mutant "host may be in two replicas" $s/state/fold.cpp \
  's/owner->second != aAssign.replica\(\)/false/' state_fold_test '*AnyHistory*'
mutant "old fencing number assigns" $s/state/fold.cpp \
  's/it->second.fence\(\) == aFence/true/; s/it->second.holder\(\) == aAuthor.author\(\)/true/; s/it->second.incarnation\(\) == aAuthor.incarnation\(\)/true/' \
  state_fold_test '*RefusesAssignments*'
mutant "hosts freed before closing" $s/state/fold.cpp \
  's/if \(!it->second.closing\(\)\)/if (false)/' state_fold_test '*OnlyAfterClosing*'
mutant "follower takes older snapshots" $s/journal/follower.cpp \
  's/if \(aSnapshot.next_offset\(\) <= mHooks.mNext\(\)\)/if (false)/' journal_journal_test '*NeverGoesBack*'
mutant "batch skips records sent before" $s/journal/appender.cpp \
  's/    if \(batch.size\(\) == mOptions.mMaxBatch\)/    if (it.mResendAt > aNow) { continue; }\n&/' journal_journal_test 'Appender*'
mutant "receipt taken for sending" $s/membership/roster.cpp \
  's/peer.mSentNoEarlier = bound;/peer.mSentNoEarlier = aNow;/' membership_membership_test '*YoungerThanItIs*'
mutant "one member need not confirm" $s/membership/evidence.cpp \
  's/if \(said.replica\(\) != aExpected.mReplica/if (false \&\& said.replica() != aExpected.mReplica/' \
  membership_membership_test '*OneMember*'
mutant "stale words count" $s/membership/evidence.cpp \
  's/if \(aNow - word->mSaidNoEarlier > aFreshness\)/if (false)/' membership_membership_test '*OldWords*'
mutant "digest not checked" $s/membership/shared_evidence.cpp \
  's/return digest == aHeartbeat.evidence_digest\(\);/return true;/' membership_membership_test '*CompleteOnly*'
mutant "unrepeatable sent again" $s/dispatch/attempt.cpp \
  's/progress.mRepeatable = !mRequest.mUnrepeatable/progress.mRepeatable = true/; s/const bool mayRepeat = .*/const bool mayRepeat = true;/' \
  dispatch_attempt_test '*NeverRepeats*'
mutant "not run said without proof" $s/dispatch/attempt.cpp \
  's/mMayHaveRun \? Ran::kUnknown : Ran::kNo/Ran::kNo/' dispatch_attempt_test '*NeverClaimsNotRun*'
mutant "no retry budget" $s/admission/retry_budget.cpp \
  's/if \(mLeft < 1.0\)/if (false)/' dispatch_attempt_test '*RetriesStay*'
mutant "last claim wins" $s/dispatch/claims.cpp \
  's/if \(it == mClaims.end\(\) \&\& mVoid/if (mVoid/' control_claim_desk_test '*NoKeyIsDispatchedTwice*'
mutant "an abandoned claim may win" $s/dispatch/claims.cpp \
  's/mVoid.count\(record.claim_id\(\)\) == 0/true/' control_claim_desk_test '*AnAbandonedClaim*'
mutant "a claim told taken may win" $s/control/claim_desk.cpp \
  's/if \(verdict.mStanding != ClaimStanding::kWon\)/if (false)/' control_claim_desk_test '*ToldTaken*:*TakenByNobody*'
mutant "shares of the hosts that are up" $s/placement/survey.cpp \
  's/static_cast<double>\(mIn.mHosts.size\(\)\)/static_cast<double>(mUsable)/' placement_planner_test '*BelowItsShare*'
mutant "no bound on waiting" $s/admission/admission.cpp \
  's/if \(ahead > 0 \&\& wait > mOptions.mLongestWait\)/if (false)/' admission_admission_test '*LongestWait*'
mutant "a prefix has its full worth in a full pool" $s/routing/router.cpp \
  's/aOptions.mPrefixWorth \* ease/aOptions.mPrefixWorth/' routing_router_test '*FullPool*'
mutant "senders shortened for all" $s/membership/roster.cpp \
  's/it->second.mApplied >= mOwnJoin/true/' membership_membership_test '*Shortened*'
mutant "long heartbeats as datagrams" $s/wire/peer_link.cpp \
  's/aBytes.size\(\) <= kMaxDatagramBytes/true/' wire_peer_link_test '*TooLong*'
mutant "owner trusts its memory, not the log" $s/control/claim_desk.cpp \
  's/partition.mCaughtUp \&\& aFirst.value\(\) == partition.mFold.Next\(\)/true/' control_claim_desk_test '*ReadsThemAtOnce*'
mutant "allowance counted anew" $s/admission/admission.cpp \
  's/others \+ mBase;/others + mRunning.size();/; s/const std::size_t lent = mBase \+/const std::size_t lent = mRunning.size() +/; s/mBase \+ free\)\);/mRunning.size() + free));/' \
  admission_admission_test '*SharesHold*'
mutant "entering a closed replica" $s/routing/router.cpp \
  's/if \(mClosed.load\(\)\)/if (false)/' routing_router_test '*ClosingSees*'
mutant "drain does not ask the nodes" $s/control/drain_ledger.cpp \
  's/report->second > 0/false/; s/return false;/continue;/' stops_test '*CutOff*:*CutsNoAnswer*'
mutant "cut-off node goes on" $s/control/traffic_view.cpp \
  's/return heard \* 2 >= known.*/return true;/' control_faults_test '*cut_from_log_and_peers*'
mutant "stop spreads by the log alone" $s/control/controller_messages.cpp \
  's/for \(const auto\& it : aHeartbeat.drains\(\)\)/for (const auto\& it : proto::Heartbeat().drains())/' stops_test '*WhileTheLogIsOut*'
