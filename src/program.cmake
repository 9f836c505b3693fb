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

ospreypost_package(routing_state routing_snapshot.cpp routing_state.cpp token_bucket_limiter.cpp send_queue.cpp
  pull_delivery.cpp push_scheduler.cpp lease_table.cpp
  NEEDS ospreypost_policy)
# Free of I/O, and needed by the configuration, which the rest of dns/ needs.
add_library(ospreypost_client_ttl_policy STATIC ${PROJECT_SOURCE_DIR}/src/dns/client_ttl_policy.cpp)
target_link_libraries(ospreypost_client_ttl_policy PUBLIC ospreypost_policy)
ospreypost_package(net socket.cpp cancellation_event.cpp threads.cpp poller.cpp NEEDS Threads::Threads)
ospreypost_package(http http.cpp NEEDS ospreypost_net)
ospreypost_package(config xml.cpp config.cpp NEEDS ospreypost_net ospreypost_client_ttl_policy LibXml2::LibXml2)
target_include_directories(ospreypost_config PUBLIC ${PROJECT_BINARY_DIR}/schemas)
ospreypost_package(discovery endpoint_list.cpp endpoint_file_source.cpp endpoint_list_update.cpp discovery_watcher.cpp
  NEEDS ospreypost_config ospreypost_http nlohmann_json::nlohmann_json)
ospreypost_package(resp resp.cpp)
ospreypost_package(load_reports report_spans.cpp otlp_metrics.cpp load_report_processor.cpp
  NEEDS ospreypost_config nlohmann_json::nlohmann_json)
ospreypost_package(dns srv_weights.cpp message.cpp name_index.cpp rate_limit.cpp answer_cache.cpp responder.cpp server.cpp
  NEEDS ospreypost_routing_state ospreypost_config PkgConfig::LDNS)
ospreypost_package(files render.cpp generation.cpp generation_store.cpp receiver.cpp pusher.cpp
  NEEDS ospreypost_http ospreypost_config ospreypost_routing_state nlohmann_json::nlohmann_json PkgConfig::XXHASH)
# What the compiler of protocol buffers writes is not ours to warn about.
add_custom_command(OUTPUT ${PROJECT_BINARY_DIR}/schemas/record.pb.cc ${PROJECT_BINARY_DIR}/schemas/record.pb.h
  COMMAND protobuf::protoc --cpp_out=${PROJECT_BINARY_DIR}/schemas -I${PROJECT_SOURCE_DIR}/schema
          ${PROJECT_SOURCE_DIR}/schema/record.proto
  DEPENDS ${PROJECT_SOURCE_DIR}/schema/record.proto VERBATIM)
add_library(ospreypost_record_schema STATIC ${PROJECT_BINARY_DIR}/schemas/record.pb.cc)
target_compile_options(ospreypost_record_schema PRIVATE -w)
target_include_directories(ospreypost_record_schema SYSTEM PUBLIC ${PROJECT_BINARY_DIR}/schemas)
target_link_libraries(ospreypost_record_schema PUBLIC protobuf::libprotobuf)
ospreypost_package(record file_name.cpp blocks.cpp reader.cpp writer.cpp event_encoder.cpp action_encoder.cpp
  recording_controller.cpp output_folder.cpp record_copier.cpp timed_visitor.cpp summary.cpp dump.cpp edit.cpp
  NEEDS ospreypost_record_schema ospreypost_net ospreypost_policy PkgConfig::ZSTD PkgConfig::XXHASH)
ospreypost_package(control_plane controller_driver.cpp log_lines.cpp published_state.cpp endpoint_directory_keeper.cpp
  pull_proxies.cpp push_proxies.cpp control_plane.cpp status.cpp health_check.cpp health_checker.cpp http_api.cpp control_plane_server.cpp
  NEEDS ospreypost_routing_state ospreypost_discovery ospreypost_load_reports ospreypost_dns ospreypost_files
        ospreypost_record ospreypost_http spdlog::spdlog)
ospreypost_package(platform platform_config.cpp messages.cpp table_push.cpp table_update_encoder.cpp endpoint_registry.cpp
  stream_delivery.cpp stream_server.cpp stream_event_router.cpp endpoint_list_intake.cpp health_checker.cpp
  gossip_channel.cpp platform_server.cpp
  NEEDS ospreypost_control_plane ospreypost_resp ospreypost_discovery ospreypost_simulator)
ospreypost_package(checker invariant_checker.cpp NEEDS Threads::Threads)
# Boost's distributions are headers: the same draws on any machine.
ospreypost_package(simulation history_check.cpp evidence.cpp fit.cpp modelled_replica.cpp simulated_run.cpp evaluation.cpp
  NEEDS ospreypost_routing_state ospreypost_client_ttl_policy ospreypost_checker)
ospreypost_package(replay event_decoder.cpp replay.cpp plausibility.cpp report_assembler.cpp log_translation.cpp history.cpp pseudonyms.cpp
  anonymise.cpp scenario_xml.cpp replica_names.cpp replica_faults.cpp service_faults.cpp export_scenario.cpp
  NEEDS ospreypost_record ospreypost_simulation ospreypost_config)
ospreypost_package(report plots.cpp page.cpp NEEDS ospreypost_simulation ospreypost_net)
ospreypost_package(terms limits.cpp deployment.cpp NEEDS ospreypost_config ospreypost_simulation)
ospreypost_package(fakes replica.cpp stub_resolver.cpp proxy.cpp tables.cpp faulty_link.cpp resolver.cpp caching_client.cpp
  NEEDS ospreypost_checker ospreypost_http ospreypost_load_reports ospreypost_dns resolv)
ospreypost_package(scenario scenario.cpp composed.cpp child_process.cpp test_environment.cpp run.cpp
  NEEDS ospreypost_fakes ospreypost_terms)
ospreypost_package(cli platform.cpp logging.cpp replay.cpp what_if.cpp record.cpp serve.cpp show.cpp receive.cpp day.cpp
  NEEDS ospreypost_platform ospreypost_control_plane ospreypost_replay ospreypost_report ospreypost_terms
        ospreypost_scenario CLI11::CLI11)

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
