#ifndef SAVORYLB_TEAM_BACKLOG_H
#define SAVORYLB_TEAM_BACKLOG_H

namespace savorylb {

/// Number of waiting requests of one team, and its weight.
struct TeamBacklog {
  int Count = 0;
  int Weight = 1;
};

} // namespace savorylb

#endif // SAVORYLB_TEAM_BACKLOG_H
