# Parts of prompts that end engines, rushes of connections, bytes without end; read by
# scripts/mutants.sh.
# shellcheck shell=bash disable=SC2154
mutant "parts are not charged" $s/relay/relay_core.cpp \
  's/ChargeExit\(mPartRuns, part.mKey, end\);/(void)part;/' relay_relay_suspects_test '*APartOfAPrompt*'
mutant "parts that ran are charged" $s/relay/relay_core.cpp \
  's/if \(!aRuns.HasCompleted\(aKey, Now\(\)\) \&\& /if (/' relay_relay_suspects_test '*APartThatHasJustCompleted*'
mutant "the end of a connection clears parts" $s/relay/exchange_suspect.cpp \
  's/if \(aExplicitEnd \&\& /if (/' relay_relay_suspects_test '*ClearsNoPart*'
mutant "parts hold nothing back" $s/relay/exchange_suspect.cpp \
  's/suspected.mQuarantinedUntil = .*/(void)part;/' relay_relay_suspects_test '*WithAPartThatIsQuarantined*'
mutant "what runs on clears no part" $s/relay/exchange_suspect.cpp \
  's/mCore->OnPartsCompleted\(mParts\);/;/' relay_relay_suspects_test '*RunsOn*:*ClearsNoPart*'
mutant "ends of a cause are charged to bystanders" $s/quarantine/crash_tracker.cpp \
  's/charge \+= another \? 0 : /(void)another; charge += /' quarantine_crash_tracker_test '*Bystander*'
mutant "of equal causes one excuses the other" $s/quarantine/crash_tracker.cpp \
  's/if \(it.mBegun == best.mBegun\)/if (it.mRequest == best.mRequest)/' quarantine_crash_tracker_test '*EqualCauses*'
mutant "a rush is taken whole" $s/admission/connection_gate.cpp \
  's/if \(mTaken >= mRate .*/if (false) {/' admission_connection_gate_test '*Burst*'
mutant "connections have no bound" $s/admission/connection_gate.cpp \
  's/if \(aOpen >= mOptions.mMaxOpen\)/if (false)/' admission_connection_gate_test '*MayBeOpen*'
mutant "interim answers have no bound" $s/relay/attempt.cpp \
  's/if \(\+\+mInterim > kMaxInterimAnswers\)/if (false)/' relay_relay_endless_answers_test '*Interim*'
mutant "kept answers have no bound together" $s/relay/exchange.cpp \
  's/all <= mCore->mOptions.mMaxBufferedBytes/true/' relay_relay_endless_answers_test '*Bounded*'
mutant "an end inside an event is not noted" $s/relay/exchange.cpp \
  's/    NoteEnd\(\&mCurrent, broken\);/    (void)broken;/' relay_relay_until_close_test '*IsReported*'
