/// @file
/// @brief Errors that say at which step and towards which peer they arose.
#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace pepperbay {

/// What kind of failure it is; callers branch on this and print the rest.
enum class Errc
{
  kInvalid,     ///< the input is wrong and will stay wrong
  kNotFound,    ///< the thing named does not exist
  kRestored,    ///< the peer has come back from an older copy; what it gave out since is void
  kConflict,    ///< somebody else's change came first
  kUnavailable, ///< the peer cannot be reached or refuses for now
  kRefused,     ///< no process listens at the peer's address
  kTimeout,     ///< no answer in time; the effect is unknown
  kCancelled,   ///< given up by this process
  kInternal,    ///< a fault of this process
};

struct Error
{
  Errc mCode = Errc::kInternal;
  std::string mStep;   ///< what was being done, such as "log.append"
  std::string mPeer;   ///< address or name of the other side; empty when there is none
  std::string mDetail; ///< what went wrong, in words for an operator
};

/// A value or an Error. Check `has_value()` before `value()`: the access is unchecked.
template<class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

const char*
ToString(Errc aCode);

/// @return one line such as `unavailable at log.append with 127.0.0.1:7000: refused`.
std::string
ToString(const Error& aError);

} // namespace pepperbay
