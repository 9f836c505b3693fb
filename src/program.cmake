# The program and its packages; needs the libraries of packages.txt.
find_package(PkgConfig REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(spdlog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(LibXml2 REQUIRED)
find_package(Threads REQUIRED)
pkg_check_modules(LDNS REQUIRED IMPORTED_TARGET ldns)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
find_package(Protobuf REQUIRED)

file(READ ${PROJECT_SOURCE_DIR}/schema/ospreypost.xsd OSPREYPOST_GOVERNOR_SCHEMA)
file(READ ${PROJECT_SOURCE_DIR}/schema/day.xsd OSPREYPOST_DAY_SCHEMA)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/schema/ospreypost.xsd
  ${PROJECT_SOURCE_DIR}/schema/day.xsd)
configure_file(${PROJECT_SOURCE_DIR}/schema/schemas.h.in ${PROJECT_BINARY_DIR}/schemas/schemas.h @ONLY)

# One static library a folder: ospreypost_package(NAME sources... NEEDS libraries...)
function(ospreypost_package name)
  cmake_parse_arguments(PACKAGE "" "" "NEEDS" ${ARGN})
  list(TRANSFORM PACKAGE_UNPARSED_ARGUMENTS PREPEND ${PROJECT_SOURCE_DIR}/src/${name}/)
  add_library(ospreypost_${name} STATIC ${PACKAGE_UNPARSED_ARGUMENTS})
  target_include_directories(ospreypost_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(ospreypost_${name} PUBLIC ${PACKAGE_NEEDS})
endfunction()

ospreypost_package(book order_book.cpp handouts.cpp pushes.cpp claims.cpp NEEDS ospreypost_rules)
ospreypost_package(lifetime clients.cpp NEEDS ospreypost_rules)
ospreypost_package(net socket.cpp interrupt.cpp threads.cpp poller.cpp NEEDS Threads::Threads)
ospreypost_package(http http.cpp NEEDS ospreypost_net)
ospreypost_package(list roll.cpp NEEDS ospreypost_net ospreypost_rules)
ospreypost_package(config xml.cpp config.cpp NEEDS ospreypost_net ospreypost_lifetime LibXml2::LibXml2)
target_include_directories(ospreypost_config PUBLIC ${PROJECT_BINARY_DIR}/schemas)
ospreypost_package(sources roll_file.cpp registry.cpp
  NEEDS ospreypost_config ospreypost_list ospreypost_http nlohmann_json::nlohmann_json)
ospreypost_package(resp resp.cpp)
ospreypost_package(otlp metrics.cpp NEEDS ospreypost_net ospreypost_rules nlohmann_json::nlohmann_json)
ospreypost_package(intake spans.cpp intake.cpp NEEDS ospreypost_otlp ospreypost_config)
ospreypost_package(dns weights.cpp message.cpp catalogue.cpp rate_limit.cpp answer_cache.cpp responder.cpp server.cpp
  NEEDS ospreypost_book ospreypost_lifetime ospreypost_config PkgConfig::LDNS)
ospreypost_package(files render.cpp generation.cpp folder.cpp receiver.cpp pusher.cpp
  NEEDS ospreypost_http ospreypost_config ospreypost_book ospreypost_lifetime nlohmann_json::nlohmann_json PkgConfig::XXHASH)
# What the compiler of protocol buffers writes is not ours to warn about.
add_custom_command(OUTPUT ${PROJECT_BINARY_DIR}/schemas/record.pb.cc ${PROJECT_BINARY_DIR}/schemas/record.pb.h
  COMMAND protobuf::protoc --cpp_out=${PROJECT_BINARY_DIR}/schemas -I${PROJECT_SOURCE_DIR}/schema
          ${PROJECT_SOURCE_DIR}/schema/record.proto
  DEPENDS ${PROJECT_SOURCE_DIR}/schema/record.proto VERBATIM)
add_library(ospreypost_record_schema STATIC ${PROJECT_BINARY_DIR}/schemas/record.pb.cc)
target_compile_options(ospreypost_record_schema PRIVATE -w)
target_include_directories(ospreypost_record_schema SYSTEM PUBLIC ${PROJECT_BINARY_DIR}/schemas)
target_link_libraries(ospreypost_record_schema PUBLIC protobuf::libprotobuf)
ospreypost_package(record blocks.cpp reader.cpp edit.cpp writer.cpp orders.cpp tap.cpp
  NEEDS ospreypost_record_schema ospreypost_net ospreypost_rules PkgConfig::ZSTD PkgConfig::XXHASH)
ospreypost_package(governor desk.cpp log_lines.cpp live_governor.cpp status.cpp service.cpp
  NEEDS ospreypost_book ospreypost_lifetime ospreypost_list ospreypost_sources ospreypost_intake ospreypost_dns
        ospreypost_files ospreypost_record ospreypost_http spdlog::spdlog)
ospreypost_package(platform environment.cpp messages.cpp channel.cpp places.cpp streams.cpp peers.cpp service.cpp
  NEEDS ospreypost_governor ospreypost_resp ospreypost_sources ospreypost_wire)
ospreypost_package(judge judge.cpp NEEDS Threads::Threads)
# Boost's distributions are headers: the same draws on any machine.
ospreypost_package(whatif check.cpp evidence.cpp fit.cpp modelled_replica.cpp played.cpp answer.cpp NEEDS ospreypost_book ospreypost_lifetime ospreypost_judge)
ospreypost_package(replay replay.cpp history.cpp anonymise.cpp export_day.cpp NEEDS ospreypost_record ospreypost_whatif ospreypost_config)
ospreypost_package(report plots.cpp page.cpp NEEDS ospreypost_whatif ospreypost_net)
ospreypost_package(terms limits.cpp deployment.cpp NEEDS ospreypost_config ospreypost_whatif)
ospreypost_package(standin replica.cpp stub.cpp proxy.cpp tables.cpp courier.cpp resolver.cpp terminal.cpp
  NEEDS ospreypost_judge ospreypost_http ospreypost_otlp ospreypost_dns resolv)
ospreypost_package(day script.cpp composed.cpp child.cpp stage.cpp run.cpp NEEDS ospreypost_standin ospreypost_terms)
ospreypost_package(cli platform.cpp logging.cpp replay.cpp what_if.cpp record.cpp serve.cpp show.cpp receive.cpp day.cpp NEEDS ospreypost_platform ospreypost_governor ospreypost_replay ospreypost_report ospreypost_terms ospreypost_day CLI11::CLI11)

add_executable(ospreypost src/cli/main.cpp)
target_link_libraries(ospreypost PRIVATE ospreypost_cli)

# The platform keeps what the build leaves and nothing else: the shared libraries that the program names go beside
# it, and it looks there first. The C library and the compiler's own stay the machine's.
# With RPATH and not RUNPATH, as the libraries are to find each other there too.
set_target_properties(ospreypost PROPERTIES BUILD_RPATH "$ORIGIN/lib" BUILD_RPATH_USE_ORIGIN ON)
target_link_options(ospreypost PRIVATE LINKER:--disable-new-dtags)
add_custom_command(TARGET ospreypost POST_BUILD
  COMMAND ${CMAKE_COMMAND} -DPROGRAM=$<TARGET_FILE:ospreypost> -DINTO=$<TARGET_FILE_DIR:ospreypost>/lib
          -P ${PROJECT_SOURCE_DIR}/deploy/gather_libraries.cmake VERBATIM)
