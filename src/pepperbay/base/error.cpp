#include "pepperbay/base/error.hpp"

namespace pepperbay {

const char*
ToString(Errc aCode)
{
  switch (aCode) {
    case Errc::kInvalid:
      return "invalid";
    case Errc::kNotFound:
      return "not found";
    case Errc::kRestored:
      return "restored";
    case Errc::kConflict:
      return "conflict";
    case Errc::kRefused:
      return "refused";
    case Errc::kUnavailable:
      return "unavailable";
    case Errc::kTimeout:
      return "timeout";
    case Errc::kCancelled:
      return "cancelled";
    case Errc::kInternal:
      return "internal";
  }
  return "internal";
}

std::string
ToString(const Error& aError)
{
  std::string text = ToString(aError.mCode);
  if (!aError.mStep.empty()) {
    text += " at " + aError.mStep;
  }
  if (!aError.mPeer.empty()) {
    text += " with " + aError.mPeer;
  }
  if (!aError.mDetail.empty()) {
    text += ": " + aError.mDetail;
  }
  return text;
}

} // namespace pepperbay
