# Model checking of how tables are copied and how roll-outs are settled; see
# spec/run.
find_program(SPIN spin REQUIRED)
add_test(NAME spec COMMAND ${PROJECT_SOURCE_DIR}/spec/run)
set_tests_properties(spec PROPERTIES TIMEOUT 600)
