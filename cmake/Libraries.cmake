# External libraries and the helpers with which each module is declared.
find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

set(THREADS_PREFER_PTHREAD_FLAG ON)
find_package(Threads REQUIRED)
find_package(gflags REQUIRED)
find_package(nlohmann_json REQUIRED)
set(GFLAGS_STATIC gflags)
if(TARGET gflags_static)
  set(GFLAGS_STATIC gflags_static)
endif()
find_library(XXHASH_LIBRARY NAMES libxxhash.a xxhash REQUIRED)
if(BERGAMOTSCALE_GATEWAY_ONLY)
  find_package(Boost 1.74 REQUIRED)
else()
  find_package(OpenSSL REQUIRED)
  find_package(Boost 1.74 REQUIRED COMPONENTS system filesystem)
  find_package(glog REQUIRED)
  find_library(CPPREST_LIBRARY cpprest REQUIRED)
  find_library(NGHTTP2_LIBRARY nghttp2 REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

# Stack traces need only line tables. Full debug information would take a third
# of the time to build some tests.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1 -DNDEBUG")

add_compile_options(-Wall -Wextra -Werror -fno-omit-frame-pointer)
add_compile_definitions(BOOST_ERROR_CODE_HEADER_ONLY MSGPACK_USE_BOOST
                        BOOST_BIND_GLOBAL_PLACEHOLDERS
                        BERGAMOTSCALE_VERSION="${PROJECT_VERSION}")
if(BERGAMOTSCALE_SANITIZE)
  add_compile_options(-fsanitize=${BERGAMOTSCALE_SANITIZE} -g1 -O1)
  add_link_options(-fsanitize=${BERGAMOTSCALE_SANITIZE})
endif()
if(BERGAMOTSCALE_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link,address -O1)
  add_link_options(-fsanitize=address)
endif()
if(BERGAMOTSCALE_SANITIZE STREQUAL "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL
                                                "GNU")
  # GCC warns about the fences in Asio, which the sanitizer can't follow. Asio's
  # queues also lock mutexes, which it can.
  add_compile_options(-Wno-tsan)
endif()

# bergamotscale_module(NAME [LIBS...]): a static library of all source files in
# the current directory.
function(bergamotscale_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/include
                                            ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# bergamotscale_binary(NAME MAIN [LIBS...]): one executable.
function(bergamotscale_binary name main)
  add_executable(${name} ${main})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                           ${PROJECT_BINARY_DIR}/bin)
endfunction()
