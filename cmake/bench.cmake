# One benchmark program for each file bench/<decision>.cpp; run by hand.
file(GLOB bench_sources CONFIGURE_DEPENDS bench/*.cpp)
foreach(source ${bench_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(bench_${name} ${source})
  target_link_libraries(bench_${name} PRIVATE vanillapost_io CLI11::CLI11)
endforeach()
