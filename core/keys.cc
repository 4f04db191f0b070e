#include "core/keys.h"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include "core/check.h"
#include "core/mac.h"
#include "core/peer_messages.h"

namespace peridot {
namespace {

// Text form: v1~<mesh address>~<http address>~<incarnation>~<sequence>~<expiry>~<mac>,
// numbers in hexadecimal. '~' occurs in none of the parts.
constexpr char separator = '~';
constexpr std::string_view key_format = "v1";
constexpr std::size_t key_parts = 7;
constexpr std::size_t max_key_text_bytes = 512;

std::string hex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const std::to_chars_result end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return std::string(digits.data(), end.ptr);
}

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  std::uint64_t value = 0;
  const std::from_chars_result end =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string_view> split(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(at + 1);
  }
}

void drop_answer(key_table& table, const key_row& row) {
  PERIDOT_CHECK(table.answers_bytes >= row.answer.body.size(), "kept answers are counted wrongly");
  table.answers_bytes -= row.answer.body.size();
}

}  // namespace

std::string issue_key(key_table& table, instant now) {
  const std::uint64_t sequence = table.next_sequence++;
  std::string text(key_format);
  const std::array<std::string, 5> parts = {table.self.address.value, table.self_http,
                                            hex(table.self.incarnation), hex(sequence),
                                            hex(to_wire(now + table.life))};
  for (const std::string& part : parts) {
    text += separator;
    text += part;
  }
  return text + separator + to_hex(make_mac(table.fleet_key, text));
}

std::optional<parsed_key> parse_key(std::string_view text, std::string_view fleet_key) {
  if (text.size() > max_key_text_bytes) {
    return std::nullopt;
  }
  const std::vector<std::string_view> parts = split(text);
  if (parts.size() != key_parts || parts[0] != key_format) {
    return std::nullopt;
  }
  const std::string_view covered = text.substr(0, text.rfind(separator));
  if (to_hex(make_mac(fleet_key, covered)) != parts[6]) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> incarnation = parse_hex(parts[3]);
  const std::optional<std::uint64_t> sequence = parse_hex(parts[4]);
  const std::optional<std::uint64_t> expires = parse_hex(parts[5]);
  if (!incarnation || !sequence || !expires) {
    return std::nullopt;
  }
  parsed_key key;
  key.issuer = router_identity{router_address{std::string(parts[1])}, *incarnation};
  key.issuer_http = std::string(parts[2]);
  key.sequence = *sequence;
  key.expires_us = *expires;
  return key;
}

begin_result begin_call(key_table& table, const parsed_key& key, std::uint64_t fingerprint,
                        instant now) {
  if (key.issuer != table.self) {
    return {begin_result::kind::not_mine};
  }
  PERIDOT_CHECK(key.sequence < table.next_sequence, "a key of this incarnation was never issued");
  const instant expires = from_wire(key.expires_us);
  if (now >= expires) {
    return {begin_result::kind::expired};
  }
  std::map<std::uint64_t, key_row>::iterator found = table.used.find(key.sequence);
  if (found != table.used.end()) {
    if (found->second.fingerprint != fingerprint) {
      return {begin_result::kind::conflict};
    }
    if (!found->second.finished) {
      return {begin_result::kind::join};
    }
    return {begin_result::kind::replay, &found->second.answer};
  }
  if (table.used.size() >= table.max_used) {
    return {begin_result::kind::full};
  }
  instant unique_expiry = expires;
  while (table.by_expiry.contains(unique_expiry)) {
    unique_expiry += duration{1};
  }
  table.by_expiry.emplace(unique_expiry, key.sequence);
  key_row row;
  row.fingerprint = fingerprint;
  row.expires = unique_expiry;
  table.used.emplace(key.sequence, std::move(row));
  return {begin_result::kind::start};
}

void complete_call(key_table& table, std::uint64_t sequence, kept_answer answer) {
  std::map<std::uint64_t, key_row>::iterator found = table.used.find(sequence);
  if (found == table.used.end()) {
    return;  // expired while it ran; expired keys are refused, so nothing can join it
  }
  PERIDOT_CHECK(!found->second.finished, "a call was completed twice");
  const bool fits = answer.body.size() <= table.max_answer_bytes &&
                    table.answers_bytes + answer.body.size() <= table.max_answers_total_bytes;
  if (!fits) {
    answer.body.clear();
    answer.body_kept = false;
  }
  table.answers_bytes += answer.body.size();
  found->second.answer = std::move(answer);
  found->second.finished = true;
}

void withdraw_call(key_table& table, std::uint64_t sequence) {
  std::map<std::uint64_t, key_row>::iterator found = table.used.find(sequence);
  if (found == table.used.end()) {
    return;
  }
  PERIDOT_CHECK(!found->second.finished, "a finished call was withdrawn");
  table.by_expiry.erase(found->second.expires);
  table.used.erase(found);
}

void expire_keys(key_table& table, instant now) {
  while (!table.by_expiry.empty() && table.by_expiry.begin()->first <= now) {
    std::map<std::uint64_t, key_row>::iterator found =
        table.used.find(table.by_expiry.begin()->second);
    PERIDOT_CHECK(found != table.used.end(), "the expiry index names an unknown key");
    drop_answer(table, found->second);
    table.used.erase(found);
    table.by_expiry.erase(table.by_expiry.begin());
  }
}

}  // namespace peridot
