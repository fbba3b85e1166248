// Which gateways watch the store closely, and the sums of the peers' loads.
#include "core/dispatch/fleet_load.hpp"
#include "core/membership/store_readers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

using namespace waxwinglb::core;
using dispatch::fleet_load;
using membership::is_substitute_reader;
using membership::reader_view;
using membership::reads_closely;

TEST(store_readers, one_reads_for_itself_only_if_it_hears_nobody_who_reads) {
    struct fault_case {
        const char* name;
        reader_view view;
        bool expected;
    };
    for (const fault_case& each :
         {fault_case{"alone", {false, false, false, true}, true},
          fault_case{"gives orders", {true, false, true, false}, true},
          fault_case{"hears the order giver", {false, true, true, true}, false},
          fault_case{"no order giver, a substitute", {false, false, true, true}, true},
          fault_case{"no order giver, others are substitutes", {false, false, true, false}, false},
          fault_case{
              "substitutes are cut from the store or out of contact", {false, false, false, false}, true}})
        EXPECT_EQ(reads_closely(each.view), each.expected) << each.name;
}

RC_GTEST_PROP(store_readers, three_of_any_fleet_are_substitutes, ()) {
    const int size = *rc::gen::inRange(1, 300);
    std::vector<std::string> names;
    for (int i = 0; i < size; ++i)
        names.push_back("g" + std::to_string(i));
    const auto readers = std::count_if(names.begin(), names.end(), [&](const std::string& name) {
        return is_substitute_reader(name, names);
    });
    RC_ASSERT(readers == std::min(size, 3));
}

RC_GTEST_PROP(fleet_load, sums_equal_the_sum_of_the_last_reports, ()) {
    fleet_load loads;
    std::map<std::string, fleet_load::counts> last;
    for (int step = 0; step < 60; ++step) {
        const std::string gateway = "g" + std::to_string(*rc::gen::inRange(0, 5));
        fleet_load::counts report;
        for (int entries = *rc::gen::inRange(0, 4); entries > 0; --entries)
            report["t" + std::to_string(*rc::gen::inRange(0, 6))] = *rc::gen::inRange(0, 9);
        last[gateway] = report;
        loads.set(gateway, report);
        for (int target = 0; target < 6; ++target) {
            const std::string id = "t" + std::to_string(target);
            int sum = 0;
            for (const auto& [name, counts] : last)
                if (const auto found = counts.find(id); found != counts.end())
                    sum += found->second;
            RC_ASSERT(loads.at(id) == sum);
        }
    }
}
