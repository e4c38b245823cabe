#ifndef SAVORYCTL_STORE_WRITE_H
#define SAVORYCTL_STORE_WRITE_H

#include "savorylb/store_client.h"
#include "tool_context.h"
#include "write_outcome.h"
#include "write_report.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace savorylb {

/// Maximum size of a value that the store of the platform accepts.
constexpr std::size_t MaxStoreValueBytes = 1'000'000;

/// Reads a document; retries when the store does not return a valid response.
/// \returns the value; empty with index 0 if the key does not exist.
Result<StoreValue> readDocument(const ToolContext &context,
                                const std::string &key);

/// Writes a document by compare-and-swap so that the write takes effect at most
/// once.
///
/// If a response is lost, reads the document back to find out whether the write
/// took effect. Retries write the same content against the same index, so that
/// a delayed first write and its retry cannot both take effect.
/// \param key store key of the document.
/// \param content the whole document with its new revision.
/// \param expectedIndex index of the value that the content was derived from.
WriteReport writeDocument(const ToolContext &context, const std::string &key,
                          const std::string &content,
                          std::uint64_t expectedIndex);

} // namespace savorylb

#endif // SAVORYCTL_STORE_WRITE_H
