# One static library per folder of src/, one test program per library.

# cyclamencourse_library(NAME LIBRARY...): builds cyclamen_NAME from all .cpp files of the current
# folder and links it to LIBRARY...
function(cyclamencourse_library NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
  add_library(cyclamen_${NAME} STATIC ${SOURCES})
  target_include_directories(cyclamen_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(cyclamen_${NAME} PUBLIC ${ARGN})
endfunction()

# cyclamencourse_test(NAME LIBRARY...): builds test_NAME, the test program of library cyclamen_NAME,
# from all .cpp files of tests/NAME and links it to LIBRARY...
function(cyclamencourse_test NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${NAME}/*.cpp)
  add_executable(test_${NAME} ${SOURCES})
  target_include_directories(test_${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(test_${NAME} PRIVATE BOOST_TEST_DYN_LINK
    CYCLAMENCOURSE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(test_${NAME} PRIVATE cyclamen_${NAME} ${ARGN} Boost::unit_test_framework rapidcheck)
  add_test(NAME ${NAME} COMMAND test_${NAME} --log_level=message)
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
