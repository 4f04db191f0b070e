#include "core/settings/document_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace peridot {
namespace {

constexpr std::size_t block_bytes = 65'536;

file_result read_error(const std::string& path, std::string problem) {
  file_result result;
  result.errors.push_back({path, 0, "", std::move(problem)});
  return result;
}

}  // namespace

file_result read_document_file(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return read_error(path, std::string{"cannot be opened: "} + std::strerror(errno));
  }
  file_result result;
  std::string block(block_bytes, '\0');
  while (file) {
    file.read(block.data(), static_cast<std::streamsize>(block.size()));
    result.text.append(block, 0, static_cast<std::size_t>(file.gcount()));
    if (result.text.size() > max_bytes) {
      return read_error(path, "is longer than " + std::to_string(max_bytes) + " bytes");
    }
  }
  if (file.bad()) {
    return read_error(path, "cannot be read");
  }
  return result;
}

}  // namespace peridot
