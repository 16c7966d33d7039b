# One test program for each file test/<feature>.cpp.
enable_testing()
find_package(GTest REQUIRED)
find_package(rapidcheck REQUIRED)
file(GLOB test_sources CONFIGURE_DEPENDS test/*.cpp)
foreach(source ${test_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(test_${name} ${source})
  target_link_libraries(test_${name} PRIVATE
    vanillapost_core rapidcheck GTest::gtest GTest::gtest_main)
  if(TARGET vanillapost_io)
    target_link_libraries(test_${name} PRIVATE vanillapost_io)
  endif()
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200" TIMEOUT 300)
endforeach()

# The adapter to the users' platform, and parts of the router.
foreach(name platform_decode store_client rollout_state_row)
  target_link_libraries(test_${name} PRIVATE vanillapost_platform)
endforeach()
foreach(part router_settings targets/target_message
        rollouts/rollout_state_row peers/rollout_relay)
  get_filename_component(name ${part} NAME)
  target_sources(test_${name} PRIVATE apps/router/${part}.cpp)
  target_include_directories(test_${name} PRIVATE apps/router)
endforeach()
foreach(name state_table late_changes change_repair outage_watch restored_store)
  target_sources(test_${name} PRIVATE
    apps/router/peers/change_messages.cpp
    apps/router/peers/gap_repair.cpp
    apps/router/state/restored_rows.cpp
    apps/router/state/revision_clock.cpp
    apps/router/state/revision_spans.cpp
    apps/router/state/state_difference.cpp
    apps/router/state/state_table.cpp)
  target_include_directories(test_${name} PRIVATE apps/router)
endforeach()
# Hundreds of members in virtual time take a while.
set(largest "*528Members*")
set(largest_burst "*Burst/528MembersThatLose33In100")
set_tests_properties(late_changes PROPERTIES
  ENVIRONMENT "GTEST_FILTER=-${largest}")
foreach(part "528_members:${largest}-${largest_burst}"
        "528_members_in_a_burst:${largest_burst}")
  string(REPLACE ":" ";" part "${part}")
  list(GET part 0 name)
  list(GET part 1 filter)
  add_test(NAME late_changes_${name} COMMAND test_late_changes)
  set_tests_properties(late_changes_${name} PROPERTIES
    ENVIRONMENT "GTEST_FILTER=${filter}" TIMEOUT 300)
endforeach()
# Goals that are not reached run as a test of their own.
set_tests_properties(crash_suspects PROPERTIES
  ENVIRONMENT "GTEST_FILTER=-CrashGoals.*")
add_test(NAME crash_suspects_goals COMMAND test_crash_suspects)
set_tests_properties(crash_suspects_goals PROPERTIES
  ENVIRONMENT "GTEST_FILTER=CrashGoals.*")
# A pattern of the replay in which the bound is not reached.
set_tests_properties(data_centre_exchange PROPERTIES
  ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200;GTEST_FILTER=-*/a_cut_link")
add_test(NAME data_centre_exchange_cut_link COMMAND test_data_centre_exchange)
set_tests_properties(data_centre_exchange_cut_link PROPERTIES
  ENVIRONMENT "GTEST_FILTER=*/a_cut_link")
target_sources(test_explain PRIVATE
  apps/explain/explanation.cpp apps/explain/log_reader.cpp)
target_include_directories(test_explain PRIVATE apps/explain)
