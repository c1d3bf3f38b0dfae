#include "checking/ConfigurationDifference.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

ListedConfiguration makeConfiguration()
{
    ListedConfiguration configuration;
    configuration.version = 1;
    configuration.hasAccounts = true;
    Route route;
    route.name = "r";
    route.services = {{ServiceId("s"), 1}};
    configuration.routes = {route};
    configuration.services = {{ServiceId("s"), {}}};
    configuration.accounts = {{AccountId("a"), 0, {"secret-key"}}};
    return configuration;
}

/// Formats differences as "change entry id: before>after ...", one per line.
std::string differences(const ListedConfiguration &before, const ListedConfiguration &after)
{
    std::string text;
    for (const Difference &difference : compareConfigurations(before, after)) {
        text.append(toName(difference.change)).append(" ").append(toName(difference.entry));
        text.append(" ").append(difference.id).append(":");
        for (const FieldChange &change : difference.fields)
            text += ' ' + change.before.value_or("-") + '>' + change.after.value_or("-");
        text += '\n';
    }
    return text;
}

} // namespace

// Guards against a change that is not shown, and against changes that are none.
TEST_CASE("configuration difference, each kind of entry, is added, removed and changed")
{
    const ListedConfiguration before = makeConfiguration();
    CHECK(differences(before, before).empty());

    ListedConfiguration after = before;
    after.routes[0].timeout = milliseconds(50);
    after.routes[0].services.push_back({ServiceId("t"), 9});
    after.services[0].info.warmingTime = milliseconds(2500);
    after.accounts[0].priority = 2;
    after.maxBodyBytes = 4194304;
    CHECK(differences(before, after)
          == "changed limits : 0>4194304\nchanged route r: 0>50 s>s:1 t:9\n"
             "changed service s: 0>2.5\nchanged account a: 0>2\n");

    after = before;
    after.hasAccounts = false;
    CHECK(differences(before, after) == "changed limits : given>absent\n");

    after = before;
    after.routes.push_back(after.routes[0]);
    after.services.push_back({ServiceId("t"), {}});
    after.accounts.push_back({AccountId("b"), 3, {}});
    const std::string added = "added route r#2: -> -> ->unsafe ->0 ->0 ->0 ->1 ->false ->s\n"
                              "added service t: ->0 ->0 ->0 ->0\nadded account b: ->3\n";
    CHECK(differences(before, after) == added);
    CHECK(differences(after, before)
          == "removed route r#2: >- >- unsafe>- 0>- 0>- 0>- 1>- false>- s>-\n"
             "removed service t: 0>- 0>- 0>- 0>-\nremoved account b: 3>-\n");
}

// Guards against keys in clear text, and against a key that changes its account unseen.
TEST_CASE("configuration difference, keys, are shown as hashes with their account")
{
    const ListedConfiguration before = makeConfiguration();
    ListedConfiguration after = before;
    after.accounts.push_back({AccountId("b"), 0, {"secret-key", "other-key"}});
    // Computed with sha256sum.
    CHECK(differences(before, after)
          == "added account b: ->0\nchanged key 85dbe15d75ef9308: a>b\n"
             "added key 580843d03d2216ff: ->b\n");

    after = before;
    after.accounts[0].id = AccountId(std::string(1000, 'n'));
    const std::vector<Difference> renamed = compareConfigurations(before, after);
    REQUIRE(renamed.back().entry == EntryKind::Key);
    CHECK(renamed.back().fields[0].after.value_or("").size() < 300);
}

// Guards against a configuration that routers would ignore without a word.
TEST_CASE("configuration difference, version not above that in force, is a finding")
{
    const ListedConfiguration before = makeConfiguration();
    CHECK(checkVersion(before, before).empty());
    ListedConfiguration after = before;
    after.maxBodyBytes = 1;
    REQUIRE(checkVersion(before, after).size() == 1);
    CHECK(checkVersion(before, after)[0].kind == FindingKind::VersionNotHigher);
    after.version = 2;
    CHECK(checkVersion(before, after).empty());
}
