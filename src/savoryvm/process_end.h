#ifndef SAVORYLB_PROCESS_END_H
#define SAVORYLB_PROCESS_END_H

namespace savorylb {

/// Makes fatal signals write the buffered lines of the event log and a
/// process_crashed line before they end the process.
void reportFatalSignals();

} // namespace savorylb

#endif // SAVORYLB_PROCESS_END_H
