#include "standins/published_values.h"

#include <cstdlib>
#include <sstream>

namespace peridot::standins {

std::optional<std::uint64_t> document_version(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with('[')) {
      return std::nullopt;
    }
    unsigned long long version = 0;
    if (std::sscanf(line.c_str(), "version = %llu", &version) == 1) {  // NOLINT(cert-err34-c)
      return version;
    }
  }
  return std::nullopt;
}

bool publish(published_value& value, const std::string& text, instant now) {
  const std::optional<std::uint64_t> version = document_version(text);
  if (!version) {
    return false;
  }
  value.documents.push_back(document{text, *version, now + value.lag});
  while (value.documents.size() > 1 && value.documents[1].served_from <= now) {
    value.documents.pop_front();
  }
  return true;
}

void set_stale(published_value& value, bool stale, instant now) {
  if (stale == value.stale) {
    return;
  }
  const document* served = served_document(value, now);
  if (stale && served != nullptr) {
    value.frozen = *served;
  }
  if (!stale) {
    value.frozen.reset();
  }
  value.stale = stale;
}

const document* served_document(const published_value& value, instant now) {
  if (value.stale) {
    return value.frozen ? &*value.frozen : nullptr;
  }
  const document* served = nullptr;
  for (const document& candidate : value.documents) {
    if (candidate.served_from <= now) {
      served = &candidate;
    }
  }
  return served;
}

}  // namespace peridot::standins
