# All from Debian's archive; docs/DECISIONS.md says what each is for.
include(GoogleTest)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Protobuf REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(GTest REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(YAML REQUIRED IMPORTED_TARGET yaml-cpp)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4)

find_path(CXXTOOLS_INCLUDE cxxtools/http/server.h REQUIRED)
find_library(CXXTOOLS_CORE cxxtools REQUIRED)
find_library(CXXTOOLS_HTTP cxxtools-http REQUIRED)
add_library(swiftlift_cxxtools INTERFACE)
target_include_directories(swiftlift_cxxtools SYSTEM INTERFACE ${CXXTOOLS_INCLUDE})
target_link_libraries(swiftlift_cxxtools INTERFACE ${CXXTOOLS_HTTP} ${CXXTOOLS_CORE})

# Property tests; the headers are found by the compiler itself.
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
