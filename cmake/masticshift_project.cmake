# Settings and functions shared by all libraries and tools of this project. The
# CMakeLists.txt of each library includes this file too, so that the library can
# be configured on its own.

include_guard(GLOBAL)

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(doctest REQUIRED)
find_package(rapidcheck REQUIRED CONFIG)
find_package(PkgConfig REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
find_package(gflags REQUIRED)
find_package(tomlplusplus REQUIRED CONFIG)
find_package(OpenSSL REQUIRED)

enable_testing()

include(GNUInstallDirs)
set(MASTICSHIFT_INCLUDE_DIR "${CMAKE_INSTALL_INCLUDEDIR}/masticshift")

# Compile requirements of the libraries are installed for their users; the flags
# with which this project itself is compiled are not.
add_library(masticshift_flags INTERFACE)
set(masticshift_own_options
    -Wall -Wextra -Wpedantic -Wno-missing-field-initializers
    -Wno-mismatched-new-delete
    $<$<CONFIG:Release>:-O2>)
target_compile_options(masticshift_flags INTERFACE
    "$<BUILD_INTERFACE:${masticshift_own_options}>")
target_compile_features(masticshift_flags INTERFACE
    $<INSTALL_INTERFACE:cxx_std_20>)
target_compile_definitions(masticshift_flags INTERFACE
    BOOST_ASIO_NO_DEPRECATED
    ELPP_NO_DEFAULT_LOG_FILE)
target_link_libraries(masticshift_flags INTERFACE
    Threads::Threads Boost::headers)

# masticshift_library(NAME DEPENDS lib... PRIVATE_DEPENDS lib...)
# Builds libs/NAME from its src/ folder and its tests from tests/*_test.cpp.
function(masticshift_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp"
        "${CMAKE_CURRENT_SOURCE_DIR}/src/generated/*.cpp")
    add_library(masticshift_${name} STATIC ${sources})
    add_library(masticshift::${name} ALIAS masticshift_${name})
    target_include_directories(masticshift_${name}
        PUBLIC "$<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>"
            "$<INSTALL_INTERFACE:${MASTICSHIFT_INCLUDE_DIR}>"
        PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
    target_link_libraries(masticshift_${name}
        PUBLIC masticshift_flags ${ARG_DEPENDS}
        PRIVATE ${ARG_PRIVATE_DEPENDS})
    masticshift_install_library(${name})
    masticshift_tests(${name})
endfunction()

# Installs a library as masticshift::NAME, with its headers. The package is
# exported by masticshift_install.cmake.
function(masticshift_install_library name)
    set_target_properties(masticshift_${name} PROPERTIES EXPORT_NAME ${name})
    install(TARGETS masticshift_${name} EXPORT masticshift_targets
        ARCHIVE DESTINATION "${CMAKE_INSTALL_LIBDIR}")
    foreach(folder IN ITEMS include generated/include)
        if(IS_DIRECTORY "${CMAKE_CURRENT_SOURCE_DIR}/${folder}")
            install(DIRECTORY "${folder}/"
                DESTINATION "${MASTICSHIFT_INCLUDE_DIR}"
                FILES_MATCHING PATTERN "*.hpp" PATTERN "*.h")
        endif()
    endforeach()
endfunction()

# masticshift_tests(NAME lib...)
# Builds tests/*_test.cpp of the current folder into one doctest program and
# registers it with ctest under the name NAME_test.
function(masticshift_tests name)
    file(GLOB tests CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cpp")
    if(NOT tests)
        return()
    endif()
    add_executable(${name}_test ${tests}
        "${CMAKE_CURRENT_FUNCTION_LIST_DIR}/doctest_main.cpp")
    target_link_libraries(${name}_test PRIVATE
        masticshift_flags doctest::doctest rapidcheck ${ARGN})
    if(TARGET masticshift_${name})
        target_link_libraries(${name}_test PRIVATE masticshift_${name})
        target_include_directories(${name}_test PRIVATE
            "${CMAKE_CURRENT_SOURCE_DIR}/src")
    endif()
    target_compile_definitions(${name}_test PRIVATE
        MASTICSHIFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
        MASTICSHIFT_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES
        TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# masticshift_tool(NAME lib...)
# Builds the program tools/NAME from src/ and its tests from tests/.
function(masticshift_tool name)
    file(GLOB sources CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp")
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE
        "${CMAKE_CURRENT_SOURCE_DIR}/src")
    target_link_libraries(${name} PRIVATE masticshift_flags ${ARGN})
    masticshift_tests(${name} ${ARGN})
endfunction()

# Compiles the large Asio, Beast and JSON headers once for the target.
function(masticshift_network_headers target)
    target_precompile_headers(${target} PRIVATE
        <boost/asio.hpp> <boost/beast.hpp> <boost/json.hpp>)
endfunction()
