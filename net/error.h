// Errors during the set-up of a process, reported with Boost.LEAF. Each carries the step
// that failed, the address or file that it was about, and the cause.
//
//   leaf::result<std::unique_ptr<mesh>> peer_mesh = start_mesh(...);
//   return setup_error("bind", address, "address already in use");
//
// Decisions about requests do not use these errors: their outcomes are values of the
// types in core/base/types.h.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

namespace peridot {

namespace leaf = boost::leaf;

// The step that failed, e.g. "bind".
struct error_step {
  std::string value;
};

// The address or file that the step was about.
struct error_subject {
  std::string value;
};

// Error text of the library or the system.
struct error_cause {
  std::string value;
};

inline leaf::error_id setup_error(std::string step, std::string subject, std::string cause) {
  return leaf::new_error(error_step{std::move(step)}, error_subject{std::move(subject)},
                         error_cause{std::move(cause)});
}

}  // namespace peridot
