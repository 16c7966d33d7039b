# The library of decisions as an exported package.
include(CMakePackageConfigHelpers)
install(DIRECTORY include/vanillapost DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
  PATTERN io EXCLUDE)
install(TARGETS vanillapost_core EXPORT vanillapost)
install(EXPORT vanillapost NAMESPACE vanillapost::
  FILE vanillapost-targets.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/vanillapost)
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
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/vanillapost)
