#include "sheet.hpp"

namespace pepperbay::pools {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

Sheet
EvenSheet()
{
  Sheet sheet;
  sheet.mDomains = 6;
  sheet.mPerDomain = 11;
  EnginePool& pool = sheet.mPool;
  pool.mSlots = 26;
  pool.mStepTime = microseconds(6450);
  pool.mStepTimePerRequest = microseconds(97);
  pool.mPromptTokensPerSecond = 56100;
  pool.mStepsPerEvent = 6;
  pool.mFormTime = milliseconds(300);
  pool.mLoadsPerSecond = 5.5;
  pool.mLoadsAtOnce = 8;
  pool.mUsualPrompt = 1080;
  pool.mUsualAnswer = 150;
  pool.mModels = { { "m0", 6, 0.67, 1.0, seconds(16), milliseconds(1600) },
                   { "m1", 3, 0.33, 0.6, seconds(12), milliseconds(1100) } };
  sheet.mRequests = {
    { "m0", 32.9, 1420, 0.85, 4030, 28.7, milliseconds(400), milliseconds(250), seconds(8) },
    { "m1", 88.2, 674, 0.75, 2340, 30.8, milliseconds(250), milliseconds(200), seconds(6) },
    { "m0", 27.2, 1960, 1.0, 5880, 3.8, milliseconds(400), milliseconds(250), seconds(5) },
  };
  return sheet;
}

Sheet
SkewedSheet()
{
  Sheet sheet;
  sheet.mDomains = 9;
  sheet.mPerDomain = 18;
  EnginePool& pool = sheet.mPool;
  pool.mSlots = 20;
  pool.mStepTime = microseconds(7800);
  pool.mStepTimePerRequest = microseconds(95);
  pool.mPromptTokensPerSecond = 45900;
  pool.mStepsPerEvent = 6;
  pool.mFormTime = milliseconds(300);
  pool.mLoadsPerSecond = 14;
  pool.mLoadsAtOnce = 20;
  pool.mUsualPrompt = 760;
  pool.mUsualAnswer = 162;
  pool.mModels = { { "m0", 8, 0.5, 1.0, seconds(16), milliseconds(1600) },
                   { "m1", 2, 0.5, 0.6, seconds(12), milliseconds(1100) } };
  sheet.mRequests = {
    { "m0", 22.7, 1420, 0.85, 4030, 28.1, milliseconds(500), milliseconds(300), seconds(8) },
    { "m1", 445, 674, 0.75, 2340, 28.1, milliseconds(300), milliseconds(200), seconds(6) },
    { "m0", 20, 1960, 1.0, 5880, 3.8, milliseconds(500), milliseconds(300), seconds(6) },
  };
  return sheet;
}

} // namespace pepperbay::pools
