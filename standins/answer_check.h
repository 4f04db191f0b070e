// Checks that an answer is whole and belongs to its own request.
//
// Stand-ins put the hash of the body they received into every token and every
// record, and engines number their tokens. An answer that mixes two requests,
// repeats, skips or reorders tokens is wrong; one that ends early is cut.
//
//   answer_check check;
//   check.body_hash = hash_text(body_hash(body));
//   read_answer(check, data) for each piece; then verdict_of(check)
//
// Thread safety: none; functions over a plain struct.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot::standins {

struct answer_check {
  std::string body_hash;
  bool plain = false;                         // one JSON record, not tokens
  std::optional<std::uint64_t> total_tokens;  // as the answer's header says
  std::uint64_t tokens = 0;                   // seen so far
  std::string pending;                        // what does not make a token yet
  bool wrong = false;
};

enum class answer_verdict { whole, cut, wrong };

// Takes the next piece and returns how many tokens it completed.
std::uint64_t read_answer(answer_check& check, std::string_view piece);

// Precondition: the answer has ended. An engine's answer that does not say how
// many tokens it has cannot be shown to be whole, so it counts as cut.
answer_verdict verdict_of(const answer_check& check);

}  // namespace peridot::standins
