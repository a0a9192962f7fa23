/// @file
/// @brief Reading YAML into typed fields with errors that name file, line, key and what is allowed.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace YAML {
class Node;
}

namespace pepperbay {

/// One thing wrong with a file.
struct YamlProblem
{
  std::string mFile;
  int mLine = 0; ///< from 1; 0 when the whole file is meant
  std::string mKey;
  std::string mText; ///< what is wrong and what is allowed
};

/// @return `file:line: key: text`.
std::string
ToString(const YamlProblem& aProblem);

/// @return what a file holds; a problem in the list when it cannot be read.
std::optional<std::string>
ReadTextFile(const std::string& aFile, std::vector<YamlProblem>* aProblems);

/// @return a duration from a number with a unit: `us`, `ms`, `s`, `min` or `h`.
Result<Duration>
ParseDuration(const std::string& aText);

/// @return such as `1.5s` or `250ms`, in the largest unit that keeps it whole.
std::string
FormatDuration(Duration aDuration);

/// Reads one mapping. Each `Read` takes a key that may be absent, keeps the default then, and notes
/// a problem instead of throwing; `Finish()` notes keys that nobody asked for.
///
/// @code
/// std::vector<YamlProblem> problems;
/// YamlReader reader("node.yaml", YAML::LoadFile("node.yaml"), "", &problems);
/// reader.Read("threads", &threads, 1, 64);
/// reader.Finish();
/// @endcode
class YamlReader
{
public:
  YamlReader(std::string aFile,
             const YAML::Node& aNode,
             std::string aPath,
             std::vector<YamlProblem>* aProblems);
  ~YamlReader();
  YamlReader(const YamlReader&) = delete;
  YamlReader& operator=(const YamlReader&) = delete;

  bool Has(const std::string& aKey);
  void Read(const std::string& aKey, std::string* aValue);
  void Read(const std::string& aKey, int* aValue, int aLeast, int aMost);
  void Read(const std::string& aKey, double* aValue, double aLeast, double aMost);
  void Read(const std::string& aKey, bool* aValue);
  void Read(const std::string& aKey, Duration* aValue, Duration aLeast, Duration aMost);
  void Read(const std::string& aKey, std::vector<std::string>* aValue);

  /// Read a nested mapping; nothing happens when the key is absent.
  void Section(const std::string& aKey, const std::function<void(YamlReader&)>& aRead);
  /// Read each mapping of a list; nothing happens when the key is absent.
  void Each(const std::string& aKey, const std::function<void(YamlReader&)>& aRead);

  /// The key must be there.
  void Require(const std::string& aKey);
  /// Note a problem at a key of this mapping.
  void Problem(const std::string& aKey, const std::string& aText);
  /// Note each key that no call has read, with the keys that are allowed.
  void Finish();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Read one text whole: every key by `aRead`, then a problem for each key that it did not ask for.
/// @param aName stands for the file in problems
void
ReadYaml(const std::string& aName,
         const std::string& aText,
         std::vector<YamlProblem>* aProblems,
         const std::function<void(YamlReader&)>& aRead);

} // namespace pepperbay
