# Tests with real processes, one ctest test for each test function. They
# start daemons and stand-ins, so only one runs at a time.
file(GLOB process_tests CONFIGURE_DEPENDS test/process/test_*.py)
foreach(source ${process_tests})
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
  file(STRINGS ${source} functions REGEX "^def test_[a-z0-9_]+\\(")
  foreach(line ${functions})
    string(REGEX REPLACE "^def test_([a-z0-9_]+).*" "\\1" name "${line}")
    add_test(NAME process_${name}
      COMMAND /usr/bin/python3 -m pytest -q -p no:cacheprovider
        ${source}::test_${name})
    set_tests_properties(process_${name} PROPERTIES
      ENVIRONMENT "VANILLAPOST_BIN=${PROJECT_BINARY_DIR}"
      RUN_SERIAL TRUE LABELS process TIMEOUT 180)
  endforeach()
endforeach()

# The router against stand-ins of the users' platform.
set(router_tests ${PROJECT_SOURCE_DIR}/test/platform/test_router.py)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${router_tests})
file(STRINGS ${router_tests} functions REGEX "^def test_[a-z0-9_]+\\(")
foreach(line ${functions})
  string(REGEX REPLACE "^def test_([a-z0-9_]+).*" "\\1" name "${line}")
  add_test(NAME router_${name}
    COMMAND /usr/bin/python3 -m pytest -q -p no:cacheprovider
      ${router_tests}::test_${name})
  set_tests_properties(router_${name} PROPERTIES
    ENVIRONMENT "VANILLAPOST_BIN=${PROJECT_BINARY_DIR}"
    RUN_SERIAL TRUE LABELS process TIMEOUT 120)
endforeach()

# A short soak with fixed seeds; test/platform/soak.py plays more by hand.
foreach(seed 11 29)
  add_test(NAME router_soak_${seed}
    COMMAND /usr/bin/python3 ${PROJECT_SOURCE_DIR}/test/platform/soak.py
      --seed ${seed} --seconds 6)
  set_tests_properties(router_soak_${seed} PROPERTIES
    ENVIRONMENT "VANILLAPOST_BIN=${PROJECT_BINARY_DIR}"
    RUN_SERIAL TRUE LABELS process TIMEOUT 120)
endforeach()
