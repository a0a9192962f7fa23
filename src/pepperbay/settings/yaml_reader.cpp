#include "pepperbay/settings/yaml_reader.hpp"

#include <array>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace pepperbay {
namespace {

struct Unit
{
  const char* mName;
  Duration mLength;
};

constexpr std::array<Unit, 5> kUnits{ {
  { "h", std::chrono::hours(1) },
  { "min", std::chrono::minutes(1) },
  { "s", std::chrono::seconds(1) },
  { "ms", std::chrono::milliseconds(1) },
  { "us", std::chrono::microseconds(1) },
} };

template<class Number>
std::string
RangeText(Number aLeast, Number aMost)
{
  std::ostringstream text;
  text << "must be " << aLeast << " to " << aMost;
  return text.str();
}

} // namespace

std::string
ToString(const YamlProblem& aProblem)
{
  std::string text = aProblem.mFile;
  if (aProblem.mLine > 0) {
    text += ":" + std::to_string(aProblem.mLine);
  }
  text += ": ";
  if (!aProblem.mKey.empty()) {
    text += aProblem.mKey + ": ";
  }
  return text + aProblem.mText;
}

Result<Duration>
ParseDuration(const std::string& aText)
{
  const Error bad{ Errc::kInvalid,
                   "settings.duration",
                   "",
                   "'" + aText + "' is not a number with a unit of us, ms, s, min or h" };
  char* end = nullptr;
  const double number = std::strtod(aText.c_str(), &end);
  if (end == aText.c_str() || !std::isfinite(number) || number < 0) {
    return bad;
  }
  const std::string unit(end);
  for (const auto& it : kUnits) {
    if (unit == it.mName) {
      const double nanoseconds = number * static_cast<double>(it.mLength.count());
      constexpr double kMost = 9.0e18;
      if (nanoseconds > kMost) {
        return bad;
      }
      return Duration(static_cast<Duration::rep>(nanoseconds));
    }
  }
  return bad;
}

std::string
FormatDuration(Duration aDuration)
{
  for (const auto& it : kUnits) {
    if (aDuration >= it.mLength && aDuration % it.mLength == Duration::zero()) {
      return std::to_string(aDuration / it.mLength) + it.mName;
    }
  }
  return std::to_string(aDuration.count() / 1000) + "us";
}

struct YamlReader::Impl
{
  std::string mFile;
  YAML::Node mNode;
  std::string mPath;
  std::vector<YamlProblem>* mProblems;
  std::set<std::string> mAsked;

  std::string PathOf(const std::string& aKey) const
  {
    return mPath.empty() ? aKey : mPath + "." + aKey;
  }

  /// @return the value of a key when it is there, and note that the key is known.
  bool Find(const std::string& aKey, YAML::Node* aFound)
  {
    mAsked.insert(aKey);
    if (!mNode.IsMap()) {
      return false;
    }
    const YAML::Node found = const_cast<const YAML::Node&>(mNode)[aKey];
    if (!found.IsDefined() || found.IsNull()) {
      return false;
    }
    aFound->reset(found);
    return true;
  }

  void Note(const std::string& aKey, const YAML::Node& aAt, const std::string& aText) const
  {
    mProblems->push_back({ mFile, aAt.Mark().line + 1, PathOf(aKey), aText });
  }
};

YamlReader::YamlReader(std::string aFile,
                       const YAML::Node& aNode,
                       std::string aPath,
                       std::vector<YamlProblem>* aProblems)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mFile = std::move(aFile);
  mImpl->mNode.reset(aNode);
  mImpl->mPath = std::move(aPath);
  mImpl->mProblems = aProblems;
  if (!aNode.IsMap()) {
    mImpl->mProblems->push_back(
      { mImpl->mFile, aNode.Mark().line + 1, mImpl->mPath, "must be a mapping of keys to values" });
  }
}

YamlReader::~YamlReader() = default;

bool
YamlReader::Has(const std::string& aKey)
{
  YAML::Node found;
  return mImpl->Find(aKey, &found);
}

void
YamlReader::Read(const std::string& aKey, std::string* aValue)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  if (!found.IsScalar()) {
    mImpl->Note(aKey, found, "must be a text");
    return;
  }
  *aValue = found.Scalar();
}

void
YamlReader::Read(const std::string& aKey, int* aValue, int aLeast, int aMost)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  int value = 0;
  if (!YAML::convert<int>::decode(found, value)) {
    mImpl->Note(aKey, found, "must be a whole number, " + RangeText(aLeast, aMost));
    return;
  }
  if (value < aLeast || value > aMost) {
    mImpl->Note(aKey, found, std::to_string(value) + ": " + RangeText(aLeast, aMost));
    return;
  }
  *aValue = value;
}

void
YamlReader::Read(const std::string& aKey, double* aValue, double aLeast, double aMost)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  double value = 0;
  const bool number = YAML::convert<double>::decode(found, value) && std::isfinite(value);
  if (!number || value < aLeast || value > aMost) {
    mImpl->Note(aKey, found, "must be a number, " + RangeText(aLeast, aMost));
    return;
  }
  *aValue = value;
}

void
YamlReader::Read(const std::string& aKey, bool* aValue)
{
  YAML::Node found;
  if (mImpl->Find(aKey, &found) && !YAML::convert<bool>::decode(found, *aValue)) {
    mImpl->Note(aKey, found, "must be true or false");
  }
}

void
YamlReader::Read(const std::string& aKey, Duration* aValue, Duration aLeast, Duration aMost)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  const auto value = ParseDuration(found.IsScalar() ? found.Scalar() : "");
  if (!value.has_value()) {
    mImpl->Note(aKey, found, value.error().mDetail);
    return;
  }
  if (value.value() < aLeast || value.value() > aMost) {
    mImpl->Note(aKey,
                found,
                found.Scalar() + ": must be " + FormatDuration(aLeast) + " to " +
                  FormatDuration(aMost));
    return;
  }
  *aValue = value.value();
}

void
YamlReader::Read(const std::string& aKey, std::vector<std::string>* aValue)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  if (!found.IsSequence()) {
    mImpl->Note(aKey, found, "must be a list of texts");
    return;
  }
  aValue->clear();
  for (const auto& it : found) {
    if (!it.IsScalar()) {
      mImpl->Note(aKey, it, "must be a list of texts");
      return;
    }
    aValue->push_back(it.Scalar());
  }
}

void
YamlReader::Section(const std::string& aKey, const std::function<void(YamlReader&)>& aRead)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  YamlReader reader(mImpl->mFile, found, mImpl->PathOf(aKey), mImpl->mProblems);
  aRead(reader);
  reader.Finish();
}

void
YamlReader::Each(const std::string& aKey, const std::function<void(YamlReader&)>& aRead)
{
  YAML::Node found;
  if (!mImpl->Find(aKey, &found)) {
    return;
  }
  if (!found.IsSequence()) {
    mImpl->Note(aKey, found, "must be a list");
    return;
  }
  for (std::size_t i = 0; i < found.size(); ++i) {
    const std::string path = mImpl->PathOf(aKey) + "[" + std::to_string(i) + "]";
    YamlReader reader(mImpl->mFile, found[i], path, mImpl->mProblems);
    aRead(reader);
    reader.Finish();
  }
}

void
YamlReader::Require(const std::string& aKey)
{
  if (!Has(aKey)) {
    Problem(aKey, "is missing");
  }
}

void
YamlReader::Problem(const std::string& aKey, const std::string& aText)
{
  YAML::Node found;
  const bool there = mImpl->Find(aKey, &found);
  mImpl->Note(aKey, there ? found : mImpl->mNode, aText);
}

void
YamlReader::Finish()
{
  if (!mImpl->mNode.IsMap()) {
    return;
  }
  std::string allowed;
  for (const auto& it : mImpl->mAsked) {
    allowed += (allowed.empty() ? "" : ", ") + it;
  }
  for (const auto& it : mImpl->mNode) {
    const std::string key = it.first.IsScalar() ? it.first.Scalar() : "?";
    if (mImpl->mAsked.count(key) == 0) {
      mImpl->Note(key, it.first, "is not a key here; allowed: " + allowed);
    }
  }
}

std::optional<std::string>
ReadTextFile(const std::string& aFile, std::vector<YamlProblem>* aProblems)
{
  const std::ifstream file(aFile);
  if (!file) {
    aProblems->push_back({ aFile, 0, "", "cannot be read" });
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
ReadYaml(const std::string& aName,
         const std::string& aText,
         std::vector<YamlProblem>* aProblems,
         const std::function<void(YamlReader&)>& aRead)
{
  YAML::Node root;
  try {
    root = YAML::Load(aText);
  } catch (const YAML::Exception& ec) {
    aProblems->push_back({ aName, ec.mark.line + 1, "", "not YAML: " + ec.msg });
    return;
  }
  YamlReader reader(aName, root, "", aProblems);
  aRead(reader);
  reader.Finish();
}

} // namespace pepperbay
