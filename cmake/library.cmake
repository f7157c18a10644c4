# One static library per folder of src/, one test program per library.

# cyclamencourse_library(NAME LIBRARY...): builds cyclamen_NAME from all .cpp files of the current
# folder and links it to LIBRARY...
function(cyclamencourse_library NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
  add_library(cyclamen_${NAME} STATIC ${SOURCES})
  target_include_directories(cyclamen_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(cyclamen_${NAME} PUBLIC ${ARGN})
endfunction()

# Sets OPTIONS to the arguments that leave out the tests of PROGRAM that KNOWN-RED.txt lists in the form
# "PROGRAM --run_test=TEST: ...".
function(cyclamencourse_known_red PROGRAM OPTIONS)
  set_property(DIRECTORY ${CMAKE_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt ENTRIES REGEX "^${PROGRAM} --run_test=[a-z0-9_]+:")
  set(FOUND)
  foreach(ENTRY ${ENTRIES})
    string(REGEX REPLACE "^${PROGRAM} --run_test=([a-z0-9_]+):.*" "--run_test=!\\1" OPTION "${ENTRY}")
    list(APPEND FOUND ${OPTION})
  endforeach()
  set(${OPTIONS} ${FOUND} PARENT_SCOPE)
endfunction()

# cyclamencourse_test(NAME LIBRARY...): builds test_NAME, the test program of library cyclamen_NAME,
# from all .cpp files of tests/NAME and links it to LIBRARY...; its CTest entry passes
# test_NAME_OPTIONS and leaves out known failures
function(cyclamencourse_test NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${NAME}/*.cpp)
  add_executable(test_${NAME} ${SOURCES})
  target_include_directories(test_${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(test_${NAME} PRIVATE BOOST_TEST_DYN_LINK
    CYCLAMENCOURSE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(test_${NAME} PRIVATE cyclamen_${NAME} ${ARGN} Boost::unit_test_framework rapidcheck)
  cyclamencourse_known_red(test_${NAME} KNOWN_RED)
  add_test(NAME ${NAME} COMMAND test_${NAME} --log_level=message ${test_${NAME}_OPTIONS} ${KNOWN_RED})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
