#include "gateway/AddressShare.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against one client that takes the whole account while another wants a little of it.
TEST_CASE("address share, one address holds all, is cut to its bound and no further")
{
    std::vector<AddressBytes> held(10, AddressBytes{1, 4});
    const std::size_t bound = addressBound(40, 50, 4);
    std::size_t ended = 0;
    while (const auto chosen = chooseOverShare(held, 2, bound)) {
        held[*chosen].bytes = 0;
        ++ended;
    }
    CHECK(bound == 20);
    CHECK(ended == 5);
    CHECK(!exceedsShare(held, 1, 0, bound));
    CHECK(exceedsShare(held, 1, 1, bound));
    CHECK(!exceedsShare(held, 2, 20, bound));
}

// Guards against ending what the wanting address holds, what may run, and addresses within bounds.
TEST_CASE("address share, nobody else over the bound, ends nothing")
{
    const std::vector<AddressBytes> held{{1, 900}, {2, 100}, {3, 700, false}};
    CHECK(!chooseOverShare(held, 1, addressBound(1000, 50, 1)));
    CHECK(chooseOverShare(held, 2, addressBound(1000, 50, 1)) == 0U);
    CHECK(addressBound(1000, 50, 1) == 500);
    CHECK(addressBound(1000, 0, 4000) == 4000);
}
