# Installs the package masticshift and tests that a program outside this source
# tree can be built with it. Included by the top CMakeLists.txt after all
# targets.

include(CMakePackageConfigHelpers)

set(package_dir "${CMAKE_INSTALL_LIBDIR}/cmake/masticshift")

install(TARGETS masticshift_flags EXPORT masticshift_targets)
set_target_properties(masticshift_flags PROPERTIES EXPORT_NAME flags)
install(TARGETS masticshiftd masticshift
    RUNTIME DESTINATION "${CMAKE_INSTALL_BINDIR}")
install(EXPORT masticshift_targets
    FILE masticshiftTargets.cmake
    NAMESPACE masticshift::
    DESTINATION "${package_dir}")

configure_package_config_file(
    "${CMAKE_CURRENT_LIST_DIR}/masticshiftConfig.cmake.in"
    "${CMAKE_CURRENT_BINARY_DIR}/masticshiftConfig.cmake"
    INSTALL_DESTINATION "${package_dir}")
write_basic_package_version_file(
    "${CMAKE_CURRENT_BINARY_DIR}/masticshiftConfigVersion.cmake"
    COMPATIBILITY SameMinorVersion)
install(FILES
    "${CMAKE_CURRENT_BINARY_DIR}/masticshiftConfig.cmake"
    "${CMAKE_CURRENT_BINARY_DIR}/masticshiftConfigVersion.cmake"
    DESTINATION "${package_dir}")

add_test(NAME embed_install_test
    COMMAND "${CMAKE_COMMAND}"
        "-DBUILD_DIR=${CMAKE_BINARY_DIR}"
        "-DSAMPLE_DIR=${CMAKE_SOURCE_DIR}/samples/embed"
        "-DGENERATOR=${CMAKE_GENERATOR}"
        "-DCXX=${CMAKE_CXX_COMPILER}"
        "-DCXX_FLAGS=${CMAKE_CXX_FLAGS}"
        "-DBUILD_TYPE=${CMAKE_BUILD_TYPE}"
        -P "${CMAKE_CURRENT_LIST_DIR}/embed_install_test.cmake")
set_tests_properties(embed_install_test PROPERTIES TIMEOUT 300)
