#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include "savorylb/clock.h"

#include <cstdio>
#include <fstream>
#include <string>

namespace review {

using savorylb::Duration;
using savorylb::Millis;
using savorylb::monoNow;
using savorylb::MonoTime;
using savorylb::Seconds;

/// The record of one run: what was sent, answered and run, with the time since
/// the start of the run.
class Record {
public:
  explicit Record(const std::string &file) : Out(file), Start(monoNow()) {}

  void line(const std::string &text) {
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f s  ", seconds(monoNow()));
    Out << at << text << std::endl;
  }
  double seconds(MonoTime time) const {
    return static_cast<double>((time - Start).count()) / 1e6;
  }

private:
  std::ofstream Out;
  MonoTime Start;
};

} // namespace review

#endif // REVIEW_RECORD_H
