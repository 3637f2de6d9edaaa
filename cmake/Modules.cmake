# A module is a folder under src/ with its public headers under include/swiftlift/.
add_library(swiftlift_warnings INTERFACE)
target_compile_options(swiftlift_warnings INTERFACE -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor)

# swiftlift_module(NAME [other modules or libraries it needs]): library swiftlift_NAME from src/NAME/*.cpp.
function(swiftlift_module NAME)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${NAME}/*.cpp)
    if(NOT SOURCES)
        add_library(swiftlift_${NAME} INTERFACE)
        target_include_directories(swiftlift_${NAME} INTERFACE ${PROJECT_SOURCE_DIR}/include)
        target_link_libraries(swiftlift_${NAME} INTERFACE ${ARGN})
        return()
    endif()
    add_library(swiftlift_${NAME} STATIC ${SOURCES})
    target_include_directories(swiftlift_${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/include PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(swiftlift_${NAME} PUBLIC ${ARGN} PRIVATE swiftlift_warnings)
endfunction()

# swiftlift_program(NAME DIR [libraries]): program NAME from DIR/*.cpp, relative to the calling folder.
function(swiftlift_program NAME DIR)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${DIR}/*.cpp)
    if(NOT SOURCES)
        return()
    endif()
    add_executable(${NAME} ${SOURCES})
    target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/src ${CMAKE_CURRENT_SOURCE_DIR}/${DIR})
    target_link_libraries(${NAME} PRIVATE ${ARGN} swiftlift_warnings)
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Property tests draw the same cases every time, so that the same code gets the same verdict; RC_PARAMS of a run by hand
# names another seed.
set(SWIFTLIFT_PROPERTY_SEED 20261)

# swiftlift_test(MODULE [libraries]): GoogleTest program test_MODULE from tests/MODULE/*.cpp.
function(swiftlift_test MODULE)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${MODULE}/*.cpp)
    if(NOT SOURCES)
        return()
    endif()
    add_executable(test_${MODULE} ${SOURCES})
    target_include_directories(test_${MODULE} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(test_${MODULE} PRIVATE swiftlift_${MODULE} ${ARGN} GTest::gmock_main swiftlift_warnings)
    gtest_discover_tests(test_${MODULE} DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 300
        ENVIRONMENT "RC_PARAMS=seed=${SWIFTLIFT_PROPERTY_SEED}")
endfunction()
