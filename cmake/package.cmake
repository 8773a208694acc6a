# mp_package(NAME [USES other-packages-or-targets...])
# One static library from every .c file of the calling folder.
function(mp_package name)
  cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
  if(NOT sources)
    add_library(mp_${name} INTERFACE)
    return()
  endif()
  add_library(mp_${name} STATIC ${sources})
  target_include_directories(mp_${name} PUBLIC ${CMAKE_SOURCE_DIR}/include
    ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(mp_${name} PUBLIC ${ARG_USES})
endfunction()

# mp_program(NAME [USES ...])
function(mp_program name)
  cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/include
    ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE ${ARG_USES})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# mp_test(PACKAGE [USES ...]): every *_test.cc of tests/PACKAGE in one binary.
function(mp_test package)
  cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${package} ${sources})
  target_include_directories(test_${package} PRIVATE
    ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src
    ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(test_${package} PRIVATE ${ARG_USES} GTest::gtest_main)
  gtest_discover_tests(test_${package} TEST_PREFIX ${package}.
    DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 600)
endfunction()
