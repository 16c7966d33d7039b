# One fuzz target for each file of test/fuzz. Its kept inputs are replayed by
# an ordinary test. With clang and VANILLAPOST_FUZZ=ON, the target `fuzz` makes
# fuzzers of them: build-fuzz/fuzz_NAME test/fuzz/corpus/NAME
file(GLOB fuzz_sources CONFIGURE_DEPENDS test/fuzz/*.cpp)
list(FILTER fuzz_sources EXCLUDE REGEX "/replay.cpp$")
set(fuzz_programs)
foreach(source ${fuzz_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(fuzz_${name} ${source})
  target_link_libraries(fuzz_${name} PRIVATE vanillapost_platform)
  list(APPEND fuzz_programs fuzz_${name})
  if(VANILLAPOST_FUZZ)
    target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
  else()
    target_sources(fuzz_${name} PRIVATE test/fuzz/replay.cpp)
    add_test(NAME fuzz_${name}
      COMMAND fuzz_${name} ${PROJECT_SOURCE_DIR}/test/fuzz/corpus/${name})
    set_tests_properties(fuzz_${name} PROPERTIES TIMEOUT 60)
  endif()
endforeach()
add_custom_target(fuzz DEPENDS ${fuzz_programs})
target_sources(fuzz_settings PRIVATE apps/router/router_settings.cpp)
target_sources(fuzz_log_lines PRIVATE
  apps/explain/explanation.cpp apps/explain/log_reader.cpp)
