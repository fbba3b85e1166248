// Parts of prompts that crash targets: who is blocked, who is not, and that all processes agree.
#include "core/quarantine/suspect_parts.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core::quarantine;
using namespace std::chrono_literals;
using waxwinglb::core::common::time_point;

namespace {

constexpr part_id common_part = 1;
constexpr part_id bad_part = 2;
constexpr part_id rare_part = 3;
const time_point start = time_point{} + 1h;

void crash_in_turn(suspect_parts& suspects, const std::vector<part_id>& parts, int count,
                   time_point first = start) {
    for (int number = 0; number < count; ++number)
        suspects.add_crash(parts, target_run{100} + static_cast<target_run>(number), first + number * 200ms);
}

bool blocks(const suspect_parts& suspects, part_id part, time_point now) {
    return suspects.find_blocked(std::vector{part}, now).has_value();
}

} // namespace

TEST(suspect_parts, part_under_which_three_targets_ended_is_blocked) {
    suspect_parts suspects;
    crash_in_turn(suspects, {bad_part}, 2);
    EXPECT_FALSE(blocks(suspects, bad_part, start + 1s));
    suspects.add_crash(std::vector{bad_part}, 102, start + 1s);
    EXPECT_TRUE(blocks(suspects, bad_part, start + 1s));
    EXPECT_TRUE(blocks(suspects, bad_part, start + 5min));
}

TEST(suspect_parts, parts_of_answered_prompts_stay_in_service_beside_the_bad_one) {
    suspect_parts suspects;
    suspects.add_sound(std::vector{common_part}, start - 10s);
    crash_in_turn(suspects, {common_part, bad_part}, 20);
    EXPECT_TRUE(blocks(suspects, bad_part, start + 4s));
    for (auto at = start; at < start + 10min; at += 1s) {
        EXPECT_FALSE(blocks(suspects, common_part, at)) << (at - start).count();
        suspects.expire(at);
    }
}

TEST(suspect_parts, rare_part_is_not_blamed_for_crashes_that_the_bad_one_explains) {
    suspect_parts suspects;
    crash_in_turn(suspects, {rare_part, bad_part}, 3);
    suspects.add_crash(std::vector{bad_part}, 200, start + 700ms);
    EXPECT_TRUE(blocks(suspects, bad_part, start + 1s));
    EXPECT_FALSE(blocks(suspects, rare_part, start + 1s));
}

TEST(suspect_parts, targets_that_end_together_are_no_evidence) {
    suspect_parts suspects;
    for (int number = 0; number < 12; ++number)
        suspects.add_crash(std::vector{rare_part}, static_cast<target_run>(number), start + number * 2ms);
    EXPECT_FALSE(blocks(suspects, rare_part, start + 1s));
}

TEST(suspect_parts, target_that_breaks_off_many_answers_counts_once) {
    suspect_parts suspects;
    for (int number = 0; number < 12; ++number)
        suspects.add_crash(std::vector{rare_part}, 7, start + number * 1s);
    EXPECT_FALSE(blocks(suspects, rare_part, start + 12s));
}

TEST(suspect_parts, complete_answer_clears_a_blocked_part_everywhere) {
    suspect_parts here;
    suspect_parts there;
    crash_in_turn(here, {rare_part}, 3);
    for (const auto& report : here.reports(start + 1s))
        there.merge(report, start + 1s);
    EXPECT_TRUE(blocks(there, rare_part, start + 1s));
    there.add_sound(std::vector{rare_part}, start + 2s);
    for (const auto& report : here.reports(start + 2s)) // still says the crashes
        there.merge(report, start + 2s);
    EXPECT_FALSE(blocks(there, rare_part, start + 2s));
    for (const auto& report : there.reports(start + 2s))
        here.merge(report, start + 2s);
    EXPECT_FALSE(blocks(here, rare_part, start + 2s));
}

TEST(suspect_parts, news_of_a_sound_part_end_though_processes_tell_each_other_late) {
    suspect_parts here;
    suspect_parts there;
    here.add_sound(std::vector{rare_part}, start);
    const auto end = start + suspect_options{}.sound_memory + suspect_options{}.report_delay;
    for (auto at = start; at < end; at += 200ms) {
        const part_report evidence{rare_part, {{7, 150s}}, std::nullopt}; // others ask again and again
        for (auto* process : {&here, &there})
            process->merge(evidence, at);
        for (const auto& report : here.reports(at))
            there.merge(report, at + 100ms);
        for (const auto& report : there.reports(at + 100ms))
            here.merge(report, at + 199ms);
    }
    crash_in_turn(here, {rare_part}, 3, end);
    EXPECT_TRUE(blocks(here, rare_part, end + 1s));
}

TEST(suspect_parts, blocked_part_is_kept_when_many_others_come_under_suspicion) {
    suspect_parts suspects;
    crash_in_turn(suspects, {bad_part}, 3);
    for (part_id part = 10; part < 500; ++part)
        suspects.add_crash(std::vector{part}, part, start + 10s);
    EXPECT_TRUE(blocks(suspects, bad_part, start + 11s));
}

TEST(suspect_parts, known_parts_are_bounded_and_old_evidence_ends) {
    suspect_parts suspects;
    for (part_id part = 1; part < 500; ++part)
        suspects.add_crash(std::vector{part}, part, start);
    EXPECT_LE(suspects.reports(start).size(), suspect_options{}.max_suspects);
    suspects.expire(start + suspect_options{}.evidence_memory);
    EXPECT_TRUE(suspects.reports(start + 2min).empty());
}

TEST(suspect_requests, attempts_at_one_target_shortly_after_one_another_count_each) {
    suspect_parts suspects{whole_request_options};
    for (target_run attempt = 1; attempt <= 3; ++attempt)
        suspects.add_crash(std::vector{bad_part}, attempt, start + attempt * 1ms);
    EXPECT_TRUE(blocks(suspects, bad_part, start + 4ms));
}

TEST(suspect_requests, attempts_minutes_apart_at_different_processes_block_it_at_all) {
    std::vector<suspect_parts> processes(3, suspect_parts{whole_request_options});
    for (std::size_t attempt = 0; attempt < processes.size(); ++attempt) {
        const auto now = start + 4min * attempt;
        for (auto& process : processes)
            process.expire(now);
        processes[attempt].add_crash(std::vector{bad_part}, attempt, now);
        for (auto& process : processes)
            for (const auto& report : processes[attempt].reports(now + 200ms))
                process.merge(report, now + 200ms);
    }
    for (const auto& process : processes)
        EXPECT_TRUE(blocks(process, bad_part, start + 8min + 1s));
}

TEST(suspect_requests, latest_crash_is_that_of_any_process) {
    suspect_parts own{whole_request_options};
    suspect_parts other{whole_request_options};
    EXPECT_FALSE(own.latest_crash(bad_part));
    own.add_crash(std::vector{bad_part}, 1, start);
    other.add_crash(std::vector{bad_part}, 2, start + 3s);
    for (const auto& report : other.reports(start + 3s))
        own.merge(report, start + 3s);
    EXPECT_EQ(own.latest_crash(bad_part), start + 3s);
}

TEST(suspect_requests, only_new_evidence_and_blocked_requests_are_told_and_within_the_bound) {
    suspect_parts suspects{whole_request_options};
    for (part_id request = 1; request <= 300; ++request)
        suspects.add_crash(std::vector{request}, request, start);
    EXPECT_EQ(suspects.reports(start).size(), whole_request_options.max_told);
    for (target_run attempt = 1'000; attempt < 1'003; ++attempt)
        suspects.add_crash(std::vector{bad_part}, attempt, start + 1ms * attempt);
    const auto later = suspects.reports(start + 1min);
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later.front().part, bad_part);
}

RC_GTEST_PROP(suspect_parts, processes_agree_whatever_order_and_repetition_the_reports_have, ()) {
    std::vector<suspect_parts> processes(3);
    const auto count = *rc::gen::inRange(1, 30);
    auto now = start;
    for (int number = 0; number < count; ++number) {
        now += std::chrono::milliseconds{*rc::gen::inRange(1, 400)};
        auto& seen_by = processes[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
        const std::vector<part_id> parts{static_cast<part_id>(*rc::gen::inRange(1, 4))};
        if (*rc::gen::inRange(0, 6) == 0)
            seen_by.add_sound(parts, now);
        else
            seen_by.add_crash(parts, static_cast<target_run>(number), now);
        if (*rc::gen::arbitrary<bool>()) {
            const auto from = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            const auto to = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            for (const auto& report : processes[from].reports(now))
                processes[to].merge(report, now);
        }
    }
    for (int round = 0; round < 4; ++round)
        for (const auto& from : processes)
            for (auto& to : processes)
                for (const auto& report : from.reports(now))
                    to.merge(report, now);
    for (part_id part = 1; part < 4; ++part)
        for (const auto& process : processes)
            RC_ASSERT(blocks(process, part, now + 1s) == blocks(processes[0], part, now + 1s));
}
