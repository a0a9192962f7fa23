# Mechanisms of a node before a shared pool, in the order of the rules that they keep; read by
# scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
relay=$s/relay
groups=$s/placement
mutant "answers without a seal pass" $relay/exchange.cpp \
  's/return aMetadata.mSealed \? "" : "unsealed_answer";/return "";/' relay_relay_test '*OnlyAWholeAnswer*'
mutant "another request's answer passes" $relay/exchange.cpp \
  's/if \(!aMetadata.mRequestId.empty\(\) \&\& aMetadata.mRequestId != mMetadata.mId\) \{/if (false) {/' relay_relay_test '*OnlyAWholeAnswer*'
mutant "answers cut short pass" $relay/exchange.cpp \
  's/if \(!aEnd.mComplete\)/if (false)/' relay_relay_test '*OnlyAWholeAnswer*'
mutant "a kept connection with bytes on it is used" $relay/connection_pool.cpp \
  's/Peek\(last.mSocket\) == PeekResult::kQuiet/true/' relay_relay_test '*MakesItUnusable*'
mutant "a caller names its customer" platform/dialect.cpp \
  's/\{ kKey, kCustomer, kEngine/{ kKey, kEngine/' platform_decode_test '*TakesOut*'
mutant "the key is passed on" platform/dialect.cpp \
  's/\{ kKey, kCustomer, kEngine/{ kCustomer, kEngine/' platform_decode_test '*TakesOut*'
mutant "what may have run is sent again" $s/dispatch/failure_step.cpp \
  's/if \(aProgress.mMayHaveRun \&\& !aProgress.mRepeatable\)/if (false)/' \
  dispatch_failure_step_test '*NeverSentAgain*'
mutant "not run said without proof, to a caller of the relay" $s/dispatch/failure_step.cpp \
  's/aProgress.mMayHaveRun \? FailureStep::kFail : FailureStep::kRefuse/FailureStep::kRefuse/' \
  dispatch_failure_step_test '*OnlyWithProof*'
mutant "the body of a late answer says not run" $relay/exchange_ends.cpp \
  's/mMayHaveRun = mMayHaveRun \|\| mAttempt->MayHaveRun\(\);/const bool m = mAttempt->MayHaveRun();/; s/\} else if \(mMayHaveRun\) \{/} else if (true) {/' \
  relay_relay_stop_test '*ARequestWithout*'
mutant "no configuration counts as no route" $relay/exchange.cpp \
  's/Refuse\("no_configuration"\)/Answer(kNotFound, "no_route", "")/' relay_relay_test '*WithoutAConfiguration*'
mutant "second attempts without a budget" $s/retries/retry_agent.cpp \
  's/const bool granted = mLocal.Take.*/const bool granted = true;/; s/return EarnedOf\(aService\).MayTake.*/return true || EarnedOf(aService).MayTake(now) ||/' relay_relay_test '*WithinTheBudget*'
mutant "the caller's deadline is passed on as it came" $relay/exchange_sending.cpp \
  's/std::max<Duration>\(TimeLeft\(\) - kDeadlineMargin, /std::max<Duration>(mDeadlineAt - mArrived, /' \
  relay_relay_test '*LessTime*'
mutant "a caller that left is not noticed" $relay/session.cpp \
  's/Peek\(self->mSocket\) == PeekResult::kClosed/false/' relay_relay_test '*ACallerThatLeaves*'
mutant "late requests are taken in a stop" $relay/relay.cpp \
  's/mCore.mAcceptsRequests = false/mCore.mAcceptsRequests = true/' relay_relay_stop_test '*RefusesWhatComesLate*'
mutant "a member that leaves is not swapped" $groups/group_planner.cpp \
  's/return engine != nullptr \&\& engine->mLeaving;/return false;/' \
  placement_group_planner_leaving_test '*Leav*'
mutant "a head without registration stays" $groups/group_planner.cpp \
  's/aReplica.mGivenUp \|\| FindListed\(aReplica.mMembers.front\(\)\) == nullptr/aReplica.mGivenUp/' \
  placement_group_planner_test '*HandsOver*'
mutant "an older configuration is taken" $s/coordinator/coordinator.cpp \
  's/configuration.value\(\).mVersion <= mRoutes->Version\(\)/false/' \
  coordinator_coordinator_test '*OnlyGoesForward*'
mutant "keys are trusted for ever" $relay/exchange.cpp \
  's/mCore->Now\(\) >= aPlan.mKeysValidUntil/false/' relay_relay_test '*KeysThatMay*'
mutant "the age of a configuration is not counted" $s/coordinator/coordinator.cpp \
  's/ConfigurationAsOf\(\) \+ mOptions.mBounds.mKeysTrusted/Now() + mOptions.mBounds.mKeysTrusted/' \
  coordinator_coordinator_freshness_test '*KeysAreTrusted*'
mutant "requests do not name their engine" platform/dialect.cpp \
  's/aFields.set\(kEngine, .*/;/' platform_decode_test '*TakesOut*'
mutant "doubled events are passed on" $relay/exchange.cpp \
  's/\*event->mId <= \*mLastEvent/false/' relay_relay_test '*AfterItsLastWholeEvent*'
mutant "a stream that ends inside an event is whole" $relay/exchange.cpp \
  's/if \(mSplitter.HasPartial\(\)\)/if (false)/' relay_relay_test '*EndsInsideAnEvent*'
mutant "standing replicas are not learnt" $groups/group_planner.cpp \
  's/^    Adopt\(name, members\);/    (void)members;/' placement_group_planner_test '*LeavesStanding*'
mutant "an adopted replica counts as new" $groups/group_planner.cpp \
  's/mSince = mView->mNow - mView->mPool->mFormTime/mSince = mView->mNow/' \
  placement_group_planner_test '*HasServedForLong*'
mutant "a head opens before its members are ready" $groups/group_planner.cpp \
  's/return std::all_of\(mMembers.begin\(\), mMembers.end\(\), \[this\]/return std::any_of(mMembers.begin(), mMembers.end(), [this]/' \
  placement_group_planner_test '*NeverServes*'
mutant "an engine's own word is not looked at" $groups/group_planner.cpp \
  's/return !group.empty\(\) \&\& !IsSpareGroup\(group\) \&\& group != aGroup;/return false;/' \
  placement_group_planner_test '*LeavesFirst*:*NeverServes*'
mutant "joins without a guard" $groups/group_planner_orders.cpp \
  's/  return NameAccepted\(aOrder\);/  return true;/' placement_group_planner_test '*NeverServes*'
mutant "a leave of an older epoch counts as left" $groups/engine_state.cpp \
  's/  if \(IsIn\(aOrder.mGroup, aOrder.mEpoch\)\) \{/  if (true) {/' \
  placement_engine_state_test '*OlderEpoch*'
mutant "an old registration comes back" $groups/engine_state.cpp \
  's/aPosition.mEpoch > std::max\(mLeft, mPosition.mEpoch\)/true/' placement_engine_state_test '*OutdatedRegistration*'
mutant "a leave that names no number proves that one has left" $groups/engine_state.cpp \
  's/aOrder.mAccepted \? OrderProof::kDone : OrderProof::kAlreadySo;/OrderProof::kDone;/; s/\*aOrder.mAccepted \+ 1;/aOrder.mAccepted.value_or(mAccepted) + 1;/' \
  placement_engine_state_test '*WithoutANumber*'
mutant "an open that is in progress is counted again" $groups/engine_state.cpp \
  's/InvalidateAccepted\(mAccepted \+ 1, aNow\);/++mAccepted;/' placement_engine_state_test '*AnOpen*'
mutant "a number that was refused is taken again" $groups/engine_state.cpp \
  's/\*aOrder.mAccepted \+ 1 : mAccepted/0 : 0/' placement_engine_state_test '*RefusedNumber*'
mutant "a late answer brings a membership back" $groups/engine_state.cpp \
  's/aOrder.mEpoch < mPosition.mEpoch \|\| aOrder.mEpoch <= mLeft/false/' \
  placement_engine_state_test '*LateAnswer*'
mutant "an order to stage that was lost counts" $groups/group_planner_orders.cpp \
  's/if \(aOrder.mKind == GroupOrderKind::kStage \&\& !taken\)/if (false)/' \
  placement_group_planner_positions_test '*ToStage*'
mutant "late joins are forgotten" $groups/group_planner.cpp \
  's/return it != mUnansweredJoins.end\(\) .*/return false;/' placement_group_planner_test '*NeverServes*'
mutant "loads of joins are not counted" $groups/group_planner_orders.cpp \
  's/MayLoadWeights\(aOrder\) \&\& GuardJoin/GuardJoin/' placement_group_planner_test '*LoadsKeep*'
mutant "a lease is held without its record" $s/lease/log_lease.cpp \
  's/if \(!aResult.value\(\).mAppended\)/if (false)/' lease_log_lease_test '*NeverHeldTwice*'
mutant "an engine that was replaced is forgiven" $groups/group_planner_orders.cpp \
  's/mSupersededEngines.insert\(aOrder.mEngine\);/mUnanswering.insert(aOrder.mEngine);/' \
  placement_group_planner_test '*BelongsToAnother*'
mutant "any node gives orders" $s/coordinator/coordinator_pools.cpp \
  's/return mLease.Held\(\) \|\| .*/return true;/' coordinator_coordinator_test '*OneNodeOrders*'
mutant "a silent member is not asked" $s/coordinator/coordinator_pools.cpp \
  's/mEngineSuspicions.Ask\(\*engine\);/;/' coordinator_coordinator_test '*TakesOverAndRepairs*'
mutant "a silent delegate is followed" $s/coordinator/node_tree.cpp \
  's/standing != Standing::kSilent && //; s/self \|\| StandingOf\(it, aPeers, aNow\) == Standing::kHeard/true/' \
  coordinator_coordinator_tree_test '*AnotherDelegate*'
mutant "a freshness answer counts from its receipt" $s/coordinator/freshness_tracker.cpp \
  's/answered - FromNs\(beat.config_age_ns\(\)\)/aNow/' \
  coordinator_coordinator_tree_test '*NeverNewer*'
mutant "an age of records that are missing here counts" $s/coordinator/freshness_tracker.cpp \
  's/<= aOwn\[i\]/<= aOwn[i] + 1/' \
  coordinator_coordinator_freshness_test '*AnAgeOfALog*'
mutant "a node whose view is old waits for its reader" $s/coordinator/coordinator_logs.cpp \
  's/if \(ReadsConfigurationDirectly\(\)\) \{/if (false) {/; s/const bool readsDirectly = ReadsEnginesDirectly\(\);/const bool readsDirectly = false;/' \
  coordinator_coordinator_readers_test '*ReadersThatHearNothing*'
mutant "registrations have no age" $s/coordinator/coordinator_logs.cpp \
  's/const bool old = age >= mOptions.mBounds.mEnginesDirectReadAfter;/const bool old = false;/' coordinator_coordinator_readers_test '*OnlyItsLogIsSilent*'
mutant "a node that the store did not answer asks no more" $s/coordinator/coordinator_logs.cpp \
  's/if \(!old && !StoreLost\(\)\)/if (!old)/' coordinator_coordinator_readers_test '*MayReadAgain*'
mutant "news are not passed on" $s/coordinator/coordinator_peers.cpp \
  's/it != aMessage.node\(\) && mPeers/false \&\& mPeers/; s/return aBeat.news_fence\(\) > mFence/return false/' \
  coordinator_coordinator_tree_test '*ALossIsKnown*'
mutant "a question that comes twice is granted twice" $s/places/slot_allocator.cpp \
  's/if \(mTable.Find\(aAsker.mNode, aAsker.mIncarnation, aAsk.id\(\)\) == nullptr\)/if (true)/' \
  places_slot_agent_test '*Property*'
mutant "an answer that comes twice frees the place" $s/places/slot_agent.cpp \
  's/if \(!held.mIds.insert\(ticket.mId\).second\)/held.mIds.insert(ticket.mId); if (false)/' \
  places_slot_agent_test '*Property*'
mutant "second attempts of a desk without a budget" $s/places/slot_agent.cpp \
  's/return EarnedOf\(aService\).Take\(Now\(\)\);/return true;/' places_slot_agent_test '*SecondAttemptsStay*'
mutant "a full model gives its replicas up" $groups/group_planner_survivors.cpp \
  's/after <= mOptions.mMaxServingDonorUtilisation \|\|/true ||/' \
  placement_group_planner_survivors_test '*WithoutRoom*'
mutant "a replica that is given up ends at once" $groups/group_planner.cpp \
  's/return mView->mInFlight\(head\) > 0 \&\& !standsStill \&\& !waited;/return false;/; s/const bool (standsStill|waited) =/[[maybe_unused]] const bool \1 =/' \
  placement_group_planner_survivors_test '*EndsItsStreams*'
