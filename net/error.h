// Errors of the process's own set-up, by Boost.LEAF. Each carries the step at
// which it arose and the peer it concerned.
//
//   leaf::result<std::unique_ptr<mesh>> peers = start_mesh(...);
//   return setup_error("bind", address, "address already in use");
//
// Decisions about requests do not use these: their outcomes are values of
// core/base/types.h.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

namespace peridot {

namespace leaf = boost::leaf;

// What was being done, e.g. "bind".
struct error_step {
  std::string value;
};

// The address or file it concerned.
struct error_subject {
  std::string value;
};

// What went wrong, as the library or the system put it.
struct error_cause {
  std::string value;
};

inline leaf::error_id setup_error(std::string step, std::string subject, std::string cause) {
  return leaf::new_error(error_step{std::move(step)}, error_subject{std::move(subject)},
                         error_cause{std::move(cause)});
}

}  // namespace peridot
