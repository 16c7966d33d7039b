# The library of decisions as an exported package.
include(CMakePackageConfigHelpers)
install(DIRECTORY include/vanillapost DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
  COMPONENT library
  PATTERN io EXCLUDE
  PATTERN io.hpp EXCLUDE)
install(TARGETS vanillapost_core EXPORT vanillapost COMPONENT library)
install(EXPORT vanillapost NAMESPACE vanillapost::
  FILE vanillapost-targets.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/vanillapost
  COMPONENT library)
file(WRITE ${PROJECT_BINARY_DIR}/vanillapost-config.cmake
"include(CMakeFindDependencyMacro)
find_dependency(nlohmann_json)
include(\${CMAKE_CURRENT_LIST_DIR}/vanillapost-targets.cmake)
")
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/vanillapost-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/vanillapost-config.cmake
  ${PROJECT_BINARY_DIR}/vanillapost-config-version.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/vanillapost
  COMPONENT library)

# Installs into a fresh prefix and builds the example against it, as someone
# who embeds the library would.
add_test(NAME embedding
  COMMAND ${CMAKE_COMMAND}
    -D build=${PROJECT_BINARY_DIR}
    -D example=${PROJECT_SOURCE_DIR}/examples/embedding
    -D generator=${CMAKE_GENERATOR}
    -P ${PROJECT_SOURCE_DIR}/cmake/check_embedding.cmake)
set_tests_properties(embedding PROPERTIES TIMEOUT 300)
