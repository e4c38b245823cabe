#include "savorylb/active_version.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace savorylb {

namespace {

bool isDigit(char c) {
  return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

std::string takeDigits(const std::string &text, std::size_t &at) {
  std::size_t begin = at;
  while (at < text.size() && isDigit(text[at]))
    ++at;
  while (begin + 1 < at && text[begin] == '0')
    ++begin;
  return text.substr(begin, at - begin);
}

// Compares digits in the names as numbers, so that v9 comes before v10.
bool isLower(const VersionId &left, const VersionId &right) {
  const std::string &a = left.Value;
  const std::string &b = right.Value;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() && j < b.size()) {
    if (isDigit(a[i]) && isDigit(b[j])) {
      std::string x = takeDigits(a, i);
      std::string y = takeDigits(b, j);
      if (x.size() != y.size())
        return x.size() < y.size();
      if (x != y)
        return x < y;
      continue;
    }
    if (a[i] != b[j])
      return a[i] < b[j];
    ++i;
    ++j;
  }
  return a.size() - i < b.size() - j || (a.size() - i == b.size() - j && a < b);
}

bool hasTargets(const ServiceSpec &service, const VersionId &version) {
  return std::any_of(
      service.Targets.begin(), service.Targets.end(),
      [&](const TargetSpec &it) { return it.Version == version; });
}

bool wasRolledBack(const RolloutRecord *record, const VersionId &version) {
  if (record == nullptr)
    return false;
  bool byLast =
      record->Phase == RolloutPhase::RolledBack && record->To == version;
  return byLast || record->RolledBackVersions.count(version) > 0;
}

} // namespace

VersionId activeVersion(const ServiceSpec &service,
                        const RolloutRecord *record) {
  if (record != nullptr) {
    bool done = record->Phase == RolloutPhase::Done;
    const VersionId &last = done ? record->To : record->From;
    if (!last.empty() && hasTargets(service, last))
      return last;
  }
  VersionId best;
  bool bestWasRolledBack = true;
  for (const TargetSpec &it : service.Targets) {
    if (it.Version.empty())
      continue;
    bool rolledBack = wasRolledBack(record, it.Version);
    bool better = rolledBack == bestWasRolledBack ? isLower(it.Version, best)
                                                  : bestWasRolledBack;
    if (best.empty() || better) {
      best = it.Version;
      bestWasRolledBack = rolledBack;
    }
  }
  return best;
}

} // namespace savorylb
