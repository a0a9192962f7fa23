# What makes a store right that comes back from an older copy; read by scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
lease=$s/lease/log_lease.cpp
leasing=lease_log_lease_test
restored=coordinator_coordinator_restored_test
contract=platform_store_contract_test
mutant "a log of another era is read on" platform/store_client.cpp \
  's/answers \&\& era != from.mEra/answers \&\& era > from.mEra + 99/' $contract 'StoreEras.AReadFromAnOffset*'
mutant "the list is not read again" $s/journal/keyed_log.cpp \
  's/code == Errc::kNotFound \|\| code == Errc::kRestored/code == Errc::kNotFound/' \
  journal_keyed_log_test '*ReadsTheListAgain*'
mutant "a claim that another era took is in force" platform/store_client.cpp \
  's/status == kOk \&\& sameEra/status == kOk/; s/const bool sameEra/[[maybe_unused]] const bool sameEra/' \
  $contract 'StoreEras.AClaimAtAnEnd*'
mutant "fencing numbers begin again" platform/store_client.cpp \
  's/tail.mFirst = kLeaseOffsets.Join\(\{ era, raw.value\(\).mFirst \}\);/tail.mFirst = raw.value().mFirst;/' \
  $contract 'StoreEras.ALeaseIsTaken*'
mutant "an old claim of one's own is in force" $lease \
  's/if \(mMayBeHeld \&\& LastIsMine\(\)\) \{/if (false) {/' $leasing '*AClaimFromBefore*'
mutant "a peer's word of one's own claim is taken" $lease \
  's/if \(aState.holder\(\) == mOptions.mHolder \&\& .*\{/if (false) {/' $leasing '*NeverHeldTwice*'
mutant "a peer's unknown holder is nobody" $lease \
  's/mMayBeHeld = mMayBeHeld \|\| aState.holder\(\).empty\(\);/;/' $leasing '*HeardFromAPeer*'
mutant "engines that the copy lacks are gone" $s/membership/engine_directory.cpp \
  's/  OnStoreBack\(aNow\);/  ;/' membership_engine_directory_test '*AnEngineThatHadLeft*'
mutant "engines that had left are back" $s/membership/engine_directory.cpp \
  's/mRestoredUntil = aNow \+ mOptions.mReturnGrace;/;/' membership_engine_directory_test '*AnEngineThatHadLeft*'
mutant "an older configuration is taken" $s/coordinator/coordinator.cpp \
  's/if \(mRoutes \&\& configuration.value\(\).mVersion <= mRoutes->Version\(\)\) \{/if (false) {/' \
  $restored '*AnOlderConfiguration*'
mutant "nodes' records are not written again" $s/coordinator/coordinator.cpp \
  's/mRecordWritten = false; .*/;/' $restored '*NodesWriteAgain*'
mutant "requests held back are not written again" $s/coordinator/quarantine_manager.hpp \
  's/\{ mStored.clear\(\); \}/{}/' $restored '*NodesWriteAgain*'
