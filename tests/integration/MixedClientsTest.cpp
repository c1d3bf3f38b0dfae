#include "integration/MixedClients.h"
#include "integration/EntryHost.h"
#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

using namespace lovagecourse::test;

// Guards against limits that hold for each form of misbehaving client, but not for their sum, and
// against descriptors or memory that are not released when clients give up.
TEST_CASE("mixed clients, all forms at the same time, stays within the limit")
{
    RouterHost host(maxMemoryMb, mixedAnswer());
    MixedClients clients({host.callers(), requestHead, {}});
    clients.run({&host.process()});
    requireBounded({&host.process()}, [&] { return host.servesRequest(); });
}

// Guards against limits of an entry and its agent that hold for each form of misbehaving client,
// but not for their sum.
TEST_CASE("entry mixed clients, all forms at the same time, stays within the limit")
{
    EntryHost host(mixedAnswer());
    MixedClients clients(host.target());
    clients.run(host.processes());
    host.requireBounded();
}
