#include "standins/answer_check.h"

namespace peridot::standins {

namespace {

constexpr std::size_t max_pending_bytes = 65'536;

std::string expected_token(const answer_check& check) {
  return "token-" + std::to_string(check.tokens) + "." + check.body_hash;
}

answer_verdict record_verdict(const answer_check& check) {
  if (!check.pending.ends_with("}\n")) {
    return answer_verdict::cut;
  }
  const std::string expected = "\"body_hash\":\"" + check.body_hash + "\"";
  const bool found = check.pending.find(expected) != std::string::npos;
  return found ? answer_verdict::whole : answer_verdict::wrong;
}

}  // namespace

std::uint64_t read_answer(answer_check& check, std::string_view piece) {
  if (check.pending.size() + piece.size() > max_pending_bytes) {
    check.wrong = true;
    return 0;
  }
  check.pending += piece;
  if (check.plain) {
    return 0;
  }
  std::uint64_t completed = 0;
  std::size_t begin = 0;
  for (std::size_t end = check.pending.find(' '); end != std::string::npos;
       end = check.pending.find(' ', begin)) {
    const std::string token = check.pending.substr(begin, end - begin);
    check.wrong = check.wrong || token != expected_token(check);
    ++check.tokens;
    ++completed;
    begin = end + 1;
  }
  check.pending.erase(0, begin);
  return completed;
}

answer_verdict verdict_of(const answer_check& check) {
  if (check.wrong) {
    return answer_verdict::wrong;
  }
  if (check.plain) {
    return record_verdict(check);
  }
  if (!check.total_tokens || !check.pending.empty() || check.tokens < *check.total_tokens) {
    return answer_verdict::cut;
  }
  return check.tokens == *check.total_tokens ? answer_verdict::whole : answer_verdict::wrong;
}

}  // namespace peridot::standins
