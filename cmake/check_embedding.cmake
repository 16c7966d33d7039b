# Installs the library into a fresh prefix, then configures, builds and runs
# the example there. Needs a finished build.
#   cmake -D build=DIR -D example=DIR -D generator=NAME -P check_embedding.cmake
set(work ${build}/embedding)
file(REMOVE_RECURSE ${work})
function(run)
  execute_process(COMMAND ${ARGN} COMMAND_ERROR_IS_FATAL ANY)
endfunction()
run(${CMAKE_COMMAND} --install ${build} --prefix ${work}/prefix
  --component library)
run(${CMAKE_COMMAND} -S ${example} -B ${work}/build -G ${generator}
  -DCMAKE_PREFIX_PATH=${work}/prefix)
run(${CMAKE_COMMAND} --build ${work}/build)
run(${work}/build/embedding)
