# Installs the build into an empty prefix, builds samples/embed against the
# installed files only, and runs it.

set(work "${BUILD_DIR}/embed_install_test")
set(prefix "${work}/prefix")
set(build "${work}/build")

function(run)
    execute_process(COMMAND ${ARGN} RESULT_VARIABLE code)
    if(NOT code EQUAL 0)
        message(FATAL_ERROR "failed with ${code}: ${ARGN}")
    endif()
endfunction()

file(REMOVE_RECURSE "${work}")
run("${CMAKE_COMMAND}" --install "${BUILD_DIR}" --prefix "${prefix}")

foreach(program IN ITEMS masticshiftd masticshift)
    run("${prefix}/bin/${program}" --version)
endforeach()
file(GLOB programs RELATIVE "${prefix}/bin" "${prefix}/bin/*")
if(NOT programs STREQUAL "masticshift;masticshiftd")
    message(FATAL_ERROR "programs that are not part of the product: ${programs}")
endif()

run("${CMAKE_COMMAND}" -S "${SAMPLE_DIR}" -B "${build}" -G "${GENERATOR}"
    "-DCMAKE_CXX_COMPILER=${CXX}" "-DCMAKE_CXX_FLAGS=${CXX_FLAGS}"
    "-DCMAKE_BUILD_TYPE=${BUILD_TYPE}" "-DCMAKE_PREFIX_PATH=${prefix}")
run("${CMAKE_COMMAND}" --build "${build}")
run("${build}/embed")
