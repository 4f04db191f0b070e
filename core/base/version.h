// Version of the programs, as in CMakeLists.txt.
#pragma once

namespace peridot {

inline constexpr char program_version[] = "0.1.0";

}  // namespace peridot
