# Replicas that change models, queues that hold who can be in time, engines that fail alerts; read by
# scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
p=$s/placement
mutant "rebalances without a minimum gain" $p/composition.cpp \
  's/before - after >= aOptions.mMinGain/true/' placement_composition_test '*AreNotReversed*'
mutant "a model keeps no minimum of replicas" $p/composition.cpp \
  's/aFrom.mReplicas < aOptions.mMinReplicas \+ conversion.mGives/false/' \
  placement_composition_test '*MinimumOfReplicas*'
mutant "a model gives whatever it needs itself" $p/composition.cpp \
  's/after <= aOptions.mMaxDonorUtilisation \&\& afterLoss <= 1.0 \&\&/true \&\&/' \
  placement_composition_test '*AFullModel*:*AreNotReversed*'
mutant "engines leave before streams have ended" $p/group_planner_composition.cpp \
  's/it->mGivenUp = true;/it->mGivenUp = true; Break(*it, "", mView->mNow);/' \
  placement_group_planner_composition_test '*EndsItsStreamsFirst*'
mutant "nothing is taken back" $p/group_planner_composition.cpp \
  's/if \(KeepServing\(aNeed.mTo\)\)/if (false)/' \
  placement_group_planner_composition_test '*StillServeAreKept*'
mutant "the least is counted with replicas just found broken" $p/group_planner_composition.cpp \
  's/const bool kept = serves .*/const bool kept = false;/' \
  placement_group_planner_composition_test '*NewHolder*'
mutant "a queue holds half of the slots for everyone" $s/routing/balancer.cpp \
  's/return std::min\(share, aPool.mSlots .*/return share;/' routing_balancer_test '*InTime*'
mutant "refused callers come back together" $s/relay/exchange_ends.cpp \
  's/after \+= std::max\(Duration::zero\(\), most\).*/(void)part;/' relay_relay_test '*DifferentTimes*'
mutant "an engine that fails alerts is chosen" $s/routing/balancer.cpp \
  's/const bool fails = aQuery.mOnce .*/const bool fails = false;/' routing_balancer_test '*OnlyOnce*'
mutant "one node's word is enough" $s/routing/failure_tracker.cpp \
  's/>= mOptions.mMinReporters/>= 1/' routing_failure_tracker_test '*TwoNodes*'
mutant "a node repeats its word for ever" $s/routing/failure_tracker.cpp \
  's/mReports.try_emplace\(aNode, aNow \+ mOptions.mMemory\);/mReports[aNode] = aNow + mOptions.mMemory;/' \
  routing_failure_tracker_test '*Forgotten*'
mutant "desks tell nobody" $s/places/slot_allocator.cpp \
  's/aAnswer->add_failing\(it\);/(void)it;/' places_slot_agent_test '*TellAll*'
