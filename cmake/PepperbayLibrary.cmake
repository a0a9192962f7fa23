# One library of the project: sources under src/pepperbay/<name>, public headers under
# include/pepperbay/<name>, tests beside the sources.
#
#   pepperbay_library(state SOURCES fold.cpp TESTS fold_test.cpp USES journal PACKAGES yaml-cpp)
#
# USES names other project libraries. A library that includes a header of one it does not name
# fails to link, which is how the layers of docs/DESIGN.md are kept.
function(pepperbay_library aName)
  cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;USES;PACKAGES" ${ARGN})
  list(TRANSFORM ARG_SOURCES PREPEND ${CMAKE_SOURCE_DIR}/src/pepperbay/${aName}/)
  list(TRANSFORM ARG_TESTS PREPEND ${CMAKE_SOURCE_DIR}/src/pepperbay/${aName}/)
  list(TRANSFORM ARG_USES PREPEND pepperbay_)
  add_library(pepperbay_${aName} STATIC ${ARG_SOURCES})
  target_include_directories(pepperbay_${aName} PUBLIC ${CMAKE_SOURCE_DIR}/include
                             PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(pepperbay_${aName} PUBLIC ${ARG_USES} ${ARG_PACKAGES})
  target_link_libraries(pepperbay_${aName} PRIVATE pepperbay_warnings)
  foreach(test ${ARG_TESTS})
    get_filename_component(stem ${test} NAME_WE)
    pepperbay_test(${aName}_${stem} ${test} pepperbay_${aName})
  endforeach()
endfunction()

# One GoogleTest program; RapidCheck's seed is fixed so that each run gives the same verdict.
function(pepperbay_test aName aSource)
  if(NOT PEPPERBAY_TESTS)
    return()
  endif()
  add_executable(${aName} ${aSource})
  target_include_directories(${aName} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
  target_link_libraries(${aName} PRIVATE ${ARGN} GTest::gtest GTest::gtest_main rapidcheck
                        pepperbay_warnings)
  add_test(NAME ${aName} COMMAND ${aName})
  set_tests_properties(${aName} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=300" TIMEOUT 240)
endfunction()
