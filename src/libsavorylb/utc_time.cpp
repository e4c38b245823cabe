#include "utc_time.h"

#include <array>
#include <cstddef>

namespace savorylb {

namespace {

// Returns the days from 1970-01-01 to a date of the Gregorian calendar.
std::int64_t daysFromCivil(std::int64_t year, int month, int day) {
  year -= month <= 2 ? 1 : 0;
  std::int64_t era = year / 400;
  std::int64_t yearOfEra = year - era * 400;
  std::int64_t dayOfYear =
      (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + day - 1;
  std::int64_t dayOfEra =
      yearOfEra * 365 + yearOfEra / 4 - yearOfEra / 100 + dayOfYear;
  return era * 146097 + dayOfEra - 719468;
}

int daysInMonth(int year, int month) {
  constexpr std::array<int, 12> Days = {31, 28, 31, 30, 31, 30,
                                        31, 31, 30, 31, 30, 31};
  bool leap = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
  return month == 2 && leap ? 29 : Days[static_cast<std::size_t>(month - 1)];
}

} // namespace

std::optional<WallTime> parseUtcTime(const std::string &text) {
  const std::string pattern = "0000-00-00T00:00:00Z";
  if (text.size() != pattern.size())
    return std::nullopt;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    bool digit = text[i] >= '0' && text[i] <= '9';
    if (pattern[i] == '0' ? !digit : text[i] != pattern[i])
      return std::nullopt;
  }
  auto number = [&text](std::size_t at, std::size_t n) {
    int out = 0;
    for (std::size_t i = at; i < at + n; ++i)
      out = out * 10 + (text[i] - '0');
    return out;
  };
  int year = number(0, 4);
  int month = number(5, 2);
  int day = number(8, 2);
  int hour = number(11, 2);
  int minute = number(14, 2);
  int second = number(17, 2);
  if (year < 1970 || month < 1 || month > 12 || day < 1 ||
      day > daysInMonth(year, month) || hour > 23 || minute > 59 || second > 59)
    return std::nullopt;
  std::int64_t minutes =
      daysFromCivil(year, month, day) * 1440 + std::int64_t{hour} * 60 + minute;
  return WallTime(Millis((minutes * 60 + second) * 1000));
}

} // namespace savorylb
