# Mechanisms that hold back requests under which engines end; read by scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
relay=$s/relay
coordinator=$s/coordinator
quarantine=$s/quarantine
suspects=coordinator_coordinator_suspects_test
mutant "an engine that several nodes saw end counts for each" $quarantine/crash_tracker.cpp \
  's/if \(known \&\& it->mSuspicion >= aEnd.mSuspicion\)/if (false)/; s/  if \(known\) \{/  if (false) {/' \
  quarantine_crash_tracker_test '*CountsEachEngineOnce*'
mutant "bystanders count like the request that had just begun" $quarantine/crash_tracker.cpp \
  's/mScore \+= static_cast<int>\(aEnd.mSuspicion\);/mScore += 2;/' quarantine_crash_tracker_test '*ABystander*'
mutant "further engines lengthen nothing" $quarantine/crash_tracker.cpp \
  's/mOptions.mLongQuarantine \* \(1 << .*\);/mOptions.mLongQuarantine;/; s/const int further =/[[maybe_unused]] const int further =/' \
  quarantine_crash_tracker_test '*FurtherEngine*'
mutant "the book has no bound" $quarantine/crash_tracker.cpp \
  's/    MakeRoom\(\);/    ;/' quarantine_crash_tracker_test '*BoundedNumber*'
mutant "the caller is no part of a request's key" $quarantine/request_key.cpp \
  's/return \{ Hash64\(aCustomer\)/return { Hash64(aCustomer.substr(0, 0))/' quarantine_request_key_test '*KeepsCallersApart*'
mutant "ends are not told" $coordinator/quarantine_manager.cpp \
  's/  mToSend\[aKey\] = mOptions.mSendCount;/  ;/' $suspects '*AddUpEverywhere*'
mutant "ends are told once" $coordinator/quarantine_manager.hpp \
  's/int mSendCount = 3/int mSendCount = 1/' $suspects '*ALostMessage*'
mutant "records are not written" $coordinator/quarantine_manager.cpp \
  's/return mObservedHere.count\(aKey\) != 0 .*/return false;/' $suspects '*StartsLater*'
mutant "only observers write records" $coordinator/quarantine_manager.cpp \
  's/\(aHoldsLease \&\& waited\)/(aHoldsLease \&\& waited \&\& false)/' $suspects '*TheHolderWrites*'
mutant "records of the nodes' log are not read" $coordinator/coordinator_peers.cpp \
  's/mSuspects.OnRecord\(aRecord.mKey, aRecord.mValue\);/;/' $suspects '*ThroughTheStore*'
mutant "writes have no rate" $coordinator/quarantine_manager.hpp \
  's/mWriteInterval = std::chrono::milliseconds\(100\)/mWriteInterval{ 0 }/' $suspects '*BoundedRate*'
mutant "failed writes are made again at once" $coordinator/quarantine_manager.cpp \
  's/done.mDue = Now\(\) \+ done.mPause;/done.mDue = Now();/' $suspects '*OnceTheStoreIsBack*'
mutant "a run to the end is not told" $coordinator/quarantine_manager.cpp \
  's/request.set_cleared\(true\);/request.set_cleared(false);/' $suspects '*WhatTheStoreDoesNotHave*'
mutant "what was cleared is taken up again" $coordinator/quarantine_manager.cpp \
  's/it->second.mEngines.count\(aEngine\) != 0;/aEngine == 0;/' $suspects '*NotTakenUpAgain*'
mutant "a living engine counts as ended" $relay/exit_probe.cpp \
  's/if \(aError == asio::error::connection_refused\)/if (true)/' relay_relay_suspects_test '*AndLives*'
mutant "what waited counts as begun" $relay/exchange_suspect.cpp \
  's/begun \? Suspicion::kBegun : Suspicion::kPresent/Suspicion::kBegun/' relay_relay_suspects_test '*IsSuspectedLess*'
mutant "held back requests are sent" $relay/exchange.cpp \
  's/  if \(IsQuarantined\(\)\) \{/  if (false) {/' relay_relay_suspects_test '*RefusedAtOnce*'
mutant "a refusal names the usual time" $relay/exchange_ends.cpp \
  's/return std::max\(after, QuarantineTimeLeft\(\)\);/return after;/' \
  relay_relay_suspects_test '*RefusedAtOnce*'
mutant "a suspect goes to a second engine at once" $relay/exchange_suspect.cpp \
  's/\(mInterrupted \&\& .*\);/false;/' relay_relay_suspects_test '*NotSentToASecond*'
mutant "copies that have begun go on" $relay/exchange_ends.cpp \
  's/  if \(StopIfQuarantined\(\)\) \{/  if (false) {/' relay_relay_suspects_test '*IsStopped*'
mutant "streams that run for long are cut" $relay/exchange_suspect.cpp \
  's/if \(proven \|\| mHedge\)/if (mHedge)/' relay_relay_suspects_test '*RunsForLong*'
mutant "a run to the end is not noted" $relay/relay.cpp \
  's/    mHooks.mOnSuspectCompleted\(aKey\);/    ;/' relay_relay_suspects_test '*TimeIsOver*'
mutant "what ran lately is suspected" $relay/relay.cpp \
  's/if \(!ran \&\& /if (/' relay_relay_suspects_test '*HasJustCompletedIsNot*'
mutant "what ran lately is not cleared" $relay/relay.cpp \
  's/  if \(suspects\) \{/  if (false) {/' relay_relay_suspects_test '*ClearsWhat*'
mutant "a run is remembered for ever" $quarantine/recent_completions.cpp \
  's/ \&\& aNow - run.mAt < kValidFor/ \&\& aNow >= run.mAt/' quarantine_recent_completions_test '*ForAWhile*'
mutant "a run counts for another request" $quarantine/recent_completions.cpp \
  's/run.mKey == aKey \&\& //' quarantine_recent_completions_test '*NeverTakes*'
mutant "a head that has ended is not told to the holder" $relay/relay.cpp \
  's/  if \(head\) \{/  if (false) {/' relay_relay_suspects_test '*WithItsStreams*'
mutant "a head that refuses connections is not told" $relay/exchange_suspect.cpp \
  's/if \(aEnd.mNotListening \&\& .*/if (false) {/' relay_relay_suspects_test '*RefusesConnections*'
mutant "what holds nothing back is passed on again and again" $coordinator/quarantine_manager.cpp \
  's/mCrashes.QuarantinedUntil\(key\) > Now\(\) \? mOptions.mSendCount : 1;/mOptions.mSendCount;/' $suspects '*PassedOnOnce*'
