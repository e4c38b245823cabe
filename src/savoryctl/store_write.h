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

/// Largest value that the platform's store takes.
constexpr std::size_t MaxStoreValueBytes = 1'000'000;

/// Reads a document, trying again when the store does not answer.
/// \returns the value; empty with index 0 when the key does not exist.
Result<StoreValue> readDocument(const ToolContext &context,
                                const std::string &key);

/// Writes a document by compare-and-swap so that at most one write takes
/// effect.
///
/// A lost response is resolved by reading back. The same content is written
/// again only against the same index, so that a delayed first write and its
/// repeat cannot both take effect.
/// \param context the outside.
/// \param key key of the document.
/// \param content the whole document with its new revision.
/// \param expectedIndex index of the value that the content was made from.
/// \returns the outcome.
WriteReport writeDocument(const ToolContext &context, const std::string &key,
                          const std::string &content,
                          std::uint64_t expectedIndex);

} // namespace savorylb

#endif // SAVORYCTL_STORE_WRITE_H
