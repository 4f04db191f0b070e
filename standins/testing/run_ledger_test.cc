#include "standins/run_ledger.h"

#include <doctest/doctest.h>

namespace peridot::standins {

TEST_CASE("the ledger finds calls that ran twice") {
  run_ledger ledger;
  CHECK(record_run(ledger, "key-1", "a") == 1);
  CHECK(record_run(ledger, "key-2", "b") == 2);
  CHECK(totals(ledger).double_runs == 0);
  CHECK(totals(ledger).double_bodies == 0);

  SUBCASE("under one key") {
    record_run(ledger, "key-1", "c");
    CHECK(totals(ledger).double_runs == 1);
    CHECK(totals(ledger).double_bodies == 0);
  }
  SUBCASE("under a new key after a false refusal") {
    record_run(ledger, "key-3", "a");
    CHECK(totals(ledger).double_runs == 0);
    CHECK(totals(ledger).double_bodies == 1);
  }
  SUBCASE("without a key") {
    record_run(ledger, "", "x");
    CHECK(totals(ledger).double_runs == 0);
    record_run(ledger, "", "x");
    CHECK(totals(ledger).double_runs == 1);
  }
}

}  // namespace peridot::standins
