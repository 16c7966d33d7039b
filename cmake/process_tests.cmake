# Tests with real processes. They start daemons and stand-ins, so only one runs
# at a time.
function(vanillapost_process_test name timeout)
  add_test(NAME ${name} COMMAND /usr/bin/python3 ${ARGN})
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "VANILLAPOST_BIN=${PROJECT_BINARY_DIR}"
    RUN_SERIAL TRUE LABELS process TIMEOUT ${timeout})
endfunction()

# One ctest test for each test function of a file.
function(vanillapost_test_functions source prefix timeout)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
  file(STRINGS ${source} functions REGEX "^def test_[a-z0-9_]+\\(")
  foreach(line ${functions})
    string(REGEX REPLACE "^def test_([a-z0-9_]+).*" "\\1" name "${line}")
    vanillapost_process_test(${prefix}_${name} ${timeout}
      -m pytest -q -p no:cacheprovider ${source}::test_${name})
  endforeach()
endfunction()

# The router on the product's own interface.
file(GLOB process_tests CONFIGURE_DEPENDS test/process/test_*.py)
foreach(source ${process_tests})
  vanillapost_test_functions(${source} process 180)
endforeach()

# The router against stand-ins of the users' platform.
file(GLOB router_tests CONFIGURE_DEPENDS test/platform/test_*.py)
foreach(source ${router_tests})
  vanillapost_test_functions(${source} router 120)
endforeach()

# A short soak with fixed seeds, which between them play every group of faults;
# test/platform/soak.py plays more by hand, and the seeds of regressions.txt.
foreach(seed 11 29 30)
  vanillapost_process_test(router_soak_${seed} 120
    ${PROJECT_SOURCE_DIR}/test/platform/soak.py --seed ${seed} --seconds 6)
endforeach()
