// Reads a document from a file, up to a size limit.
//
// Thread safety: no shared state; blocks while it reads.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/settings/document_error.h"

namespace peridot {

struct file_result {
  std::string text;
  std::vector<document_error> errors;  // empty: `text` is the whole file
};

// Reads the whole file. A file that cannot be read or is longer than `max_bytes` gives one
// error with line 0.
file_result read_document_file(const std::string& path, std::size_t max_bytes = max_document_bytes);

}  // namespace peridot
