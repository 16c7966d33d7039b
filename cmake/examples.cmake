# One example program for each file examples/<feature>.cpp; each is a test.
file(GLOB example_sources CONFIGURE_DEPENDS examples/*.cpp)
foreach(source ${example_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(example_${name} ${source})
  target_link_libraries(example_${name} PRIVATE vanillapost_core)
  add_test(NAME example_${name} COMMAND example_${name})
endforeach()
