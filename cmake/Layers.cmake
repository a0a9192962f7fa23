# The layers of docs/DESIGN.md, lowest first. Libraries marked pure take the time as an argument and
# link neither sockets nor threads.
pepperbay_library(base SOURCES clock.cpp descriptors.cpp error.cpp hash.cpp ids.cpp system_error.cpp
                  TESTS descriptors_test.cpp PACKAGES xxhash)
pepperbay_library(log SOURCES log.cpp line_budget.cpp TESTS line_budget_test.cpp USES base PACKAGES PkgConfig::LOG4)
pepperbay_library(settings SOURCES settings.cpp edge_settings.cpp yaml_reader.cpp TESTS settings_test.cpp edge_settings_test.cpp USES base
                  PACKAGES yaml-cpp)
pepperbay_library(journal SOURCES appender.cpp follower.cpp keyed_log.cpp
                  TESTS journal_test.cpp keyed_log_test.cpp USES base proto) # pure
pepperbay_library(state SOURCES fold.cpp documents.cpp TESTS fold_test.cpp USES base proto) # pure
pepperbay_library(lease SOURCES keeper.cpp log_lease.cpp TESTS keeper_test.cpp log_lease_test.cpp USES state) # pure
pepperbay_library(membership SOURCES roster.cpp evidence.cpp shared_evidence.cpp engine_directory.cpp
                          stall_detector.cpp
                  TESTS membership_test.cpp engine_directory_test.cpp USES base proto) # pure
pepperbay_library(quarantine SOURCES request_key.cpp crash_tracker.cpp recent_completions.cpp
                  TESTS request_key_test.cpp crash_tracker_test.cpp recent_completions_test.cpp part_quarantine_test.cpp
                  USES base) # pure
pepperbay_library(reach SOURCES way_book.cpp proxy_choice.cpp tunnel_wire.cpp
                  TESTS way_book_test.cpp proxy_choice_test.cpp tunnel_wire_test.cpp USES base) # pure
pepperbay_library(routing SOURCES router.cpp route_table.cpp find_engine.cpp balancer.cpp refusal_tracker.cpp failure_tracker.cpp
                          engine_limit_table.cpp unanswered_tracker.cpp
                  TESTS router_test.cpp route_table_test.cpp balancer_test.cpp refusal_tracker_test.cpp
                        failure_tracker_test.cpp engine_limit_table_test.cpp unanswered_tracker_test.cpp
                  USES base membership quarantine reach) # pure
pepperbay_library(placement SOURCES planner.cpp survey.cpp orders.cpp reserves.cpp group_order.cpp
                          engine_state.cpp group_planner.cpp group_planner_orders.cpp
                          group_planner_repair.cpp group_planner_spares.cpp
                          group_planner_incarnations.cpp group_planner_survivors.cpp
                          group_planner_composition.cpp composition.cpp
                  TESTS planner_test.cpp reserves_test.cpp group_planner_test.cpp
                        group_planner_leaving_test.cpp group_planner_loads_test.cpp group_planner_positions_test.cpp
                        group_planner_incarnations_test.cpp group_planner_survivors_test.cpp
                        engine_state_test.cpp composition_test.cpp
                        group_planner_composition_test.cpp USES state membership routing) # pure
pepperbay_library(admission SOURCES admission.cpp connection_gate.cpp earned_retries.cpp retry_budget.cpp token_bucket.cpp fairness_tracker.cpp
                  TESTS admission_test.cpp connection_gate_test.cpp token_bucket_test.cpp fairness_tracker_test.cpp
                  USES base) # pure
pepperbay_library(dispatch SOURCES attempted_engines.cpp attempt.cpp claims.cpp failure_step.cpp
                  TESTS attempted_engines_test.cpp attempt_test.cpp failure_step_test.cpp
                  USES routing admission proto) # pure
pepperbay_library(places SOURCES slot_agent.cpp slot_allocator.cpp slot_limits.cpp slot_table.cpp rate_ledger.cpp
                          local_share.cpp
                  TESTS slot_agent_test.cpp limited_engines_test.cpp rate_ledger_test.cpp
                  USES routing admission proto) # pure
pepperbay_library(retries SOURCES local_retries.cpp retry_agent.cpp retry_budget_owner.cpp
                  TESTS retry_agent_test.cpp
                  USES admission places proto) # pure
pepperbay_library(wire SOURCES peer_link.cpp codec.cpp TESTS codec_test.cpp peer_link_test.cpp USES base proto
                  PACKAGES cppzmq)
pepperbay_library(http SOURCES message.cpp server.cpp client.cpp tunnelled.cpp TESTS http_test.cpp tunnelled_test.cpp USES base reach
                  PACKAGES PkgConfig::MHD CURL::libcurl Threads::Threads)
pepperbay_library(control SOURCES claim_desk.cpp controller.cpp controller_hosts.cpp
                                  controller_messages.cpp controller_peers.cpp
                                  controller_usage.cpp drain_ledger.cpp dump.cpp holder.cpp
                                  host_watch.cpp traffic_view.cpp
                  TESTS claim_desk_test.cpp
                  USES log settings journal state lease membership placement admission routing
                       dispatch wire
                  PACKAGES nlohmann_json::nlohmann_json)
pepperbay_library(gateway SOURCES gateway.cpp gateway_attempts.cpp gateway_claims.cpp
                                  gateway_relays.cpp request.cpp
                  USES control settings dispatch http PACKAGES nlohmann_json::nlohmann_json)
pepperbay_library(node SOURCES metrics.cpp node.cpp platform.cpp publish_file.cpp
                  USES control gateway log settings wire http
                  PACKAGES nlohmann_json::nlohmann_json prometheus-cpp::core)

# A node before a shared pool of engines, and the users' platform, which only translates.
pepperbay_library(coordinator SOURCES coordinator.cpp coordinator_bounds.cpp coordinator_dump.cpp coordinator_peers.cpp
                                      coordinator_pools.cpp coordinator_registrations.cpp
                                      coordinator_reach.cpp engine_calls.cpp engine_suspicions.cpp freshness_tracker.cpp
                                      coordinator_logs.cpp coordinator_rate_leases.cpp log_feeds.cpp log_reads.cpp update_tracker.cpp
                                      node_tree.cpp peer_table.cpp plan_builder.cpp
                                      rate_leases.cpp reachability_probes.cpp quarantine_manager.cpp
                  TESTS coordinator_test.cpp coordinator_tree_test.cpp coordinator_freshness_test.cpp coordinator_readers_test.cpp
                        coordinator_messages_test.cpp
                        coordinator_registrations_test.cpp coordinator_restored_test.cpp
                        coordinator_suspects_test.cpp coordinator_chains_test.cpp
                        coordinator_reach_test.cpp coordinator_pauses_test.cpp coordinator_pauses_beside_test.cpp
                        coordinator_ended_test.cpp coordinator_dead_connections_test.cpp
                        coordinator_outages_test.cpp
                        coordinator_many_engines_test.cpp coordinator_limits_test.cpp coordinator_list_storm_test.cpp
                        engine_calls_test.cpp engine_suspicions_test.cpp log_feeds_test.cpp log_reads_test.cpp
                        rate_leases_test.cpp round_pace_test.cpp reachability_probes_test.cpp
                  USES journal lease membership placement admission quarantine reach routing
                  PACKAGES nlohmann_json::nlohmann_json) # pure
pepperbay_library(tunnel SOURCES sockets.cpp listener.cpp tunnel_server.cpp carried_connection.cpp
                          tunnel_opening.cpp
                  TESTS tunnel_test.cpp listener_test.cpp
                  USES settings reach PACKAGES Threads::Threads)
pepperbay_library(relay SOURCES attempt.cpp connect_operation.cpp connection_pool.cpp exit_probe.cpp
                                engine_connector.cpp silence_watch.cpp event_splitter.cpp hop_by_hop.cpp
                                exchange.cpp exchange_ends.cpp exchange_limits.cpp exchange_sending.cpp exchange_log.cpp
                                exchange_hedge.cpp exchange_suspect.cpp relay.cpp relay_core.cpp session.cpp
                  TESTS connection_pool_test.cpp event_splitter_test.cpp relay_test.cpp relay_moves_test.cpp
                        relay_pauses_test.cpp relay_attempts_test.cpp
                        relay_pooled_connections_test.cpp relay_retries_test.cpp
                        relay_stop_test.cpp relay_suspects_test.cpp relay_withdrawn_requests_test.cpp relay_broken_heads_test.cpp relay_until_close_test.cpp
                        relay_endless_answers_test.cpp relay_connection_burst_test.cpp relay_limits_test.cpp
                        relay_bodiless_answers_test.cpp relay_reach_test.cpp relay_reachability_test.cpp relay_peers_test.cpp
                        connector_peers_test.cpp connector_reachability_test.cpp
                  USES settings membership quarantine reach admission routing dispatch places retries tunnel
                  PACKAGES nlohmann_json::nlohmann_json Threads::Threads)
pepperbay_library(edge SOURCES edge_node.cpp edge_metrics.cpp
                  USES log settings coordinator relay http PACKAGES prometheus-cpp::core)
pepperbay_library(status SOURCES pool_status.cpp TESTS pool_status_test.cpp
                  USES base PACKAGES nlohmann_json::nlohmann_json) # pure
add_library(pepperbay_platform STATIC platform/decode.cpp platform/dialect.cpp
                                      platform/engine_client.cpp platform/link.cpp
                                      platform/store_client.cpp platform/store_codec.cpp)
target_include_directories(pepperbay_platform PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(pepperbay_platform PUBLIC pepperbay_edge nlohmann_json::nlohmann_json)
target_link_libraries(pepperbay_platform PRIVATE pepperbay_warnings)
pepperbay_test(platform_decode_test ${CMAKE_SOURCE_DIR}/platform/decode_test.cpp pepperbay_platform)

# What reads bytes of others: a bounded run among the tests, and a longer one by scripts/fuzz.sh.
add_library(pepperbay_fuzz_targets STATIC EXCLUDE_FROM_ALL platform/fuzz/targets.cpp)
target_link_libraries(pepperbay_fuzz_targets PUBLIC pepperbay_platform pepperbay_status)
target_link_libraries(pepperbay_fuzz_targets PRIVATE pepperbay_warnings)
pepperbay_test(platform_fuzz_test ${CMAKE_SOURCE_DIR}/platform/fuzz/fuzz_test.cpp
               pepperbay_fuzz_targets)
if(PEPPERBAY_FUZZ)
  add_executable(pepperbay_fuzz platform/fuzz/libfuzzer.cpp)
  target_link_libraries(pepperbay_fuzz PRIVATE pepperbay_fuzz_targets)
  target_link_options(pepperbay_fuzz PRIVATE -fsanitize=fuzzer)
endif()

add_executable(pepperbay src/pepperbay/main/main.cpp src/pepperbay/main/commands.cpp
               src/pepperbay/main/edge.cpp src/pepperbay/main/edge_commands.cpp)
target_include_directories(pepperbay PRIVATE src)
target_link_libraries(pepperbay PRIVATE pepperbay_node pepperbay_platform pepperbay_status absl::flags absl::flags_parse
                      absl::flags_usage pepperbay_warnings)

if(NOT PEPPERBAY_TESTS)
  return()
endif()

add_executable(pepperbay_fakes fakes/main.cpp fakes/fake_log.cpp fakes/fake_engines.cpp
                               fakes/fake_service.cpp)
target_link_libraries(pepperbay_fakes PRIVATE pepperbay_http pepperbay_proto pepperbay_settings
                      nlohmann_json::nlohmann_json absl::flags absl::flags_parse absl::strings
                      pepperbay_warnings)

# Tests with real processes.
add_library(pepperbay_cluster STATIC tests/cluster.cpp fakes/fake_wire.cpp)
target_include_directories(pepperbay_cluster PUBLIC ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(pepperbay_cluster PUBLIC pepperbay_http pepperbay_wire nlohmann_json::nlohmann_json GTest::gtest)
target_compile_definitions(pepperbay_cluster PUBLIC PEPPERBAY="$<TARGET_FILE:pepperbay>"
                           PEPPERBAY_FAKES="$<TARGET_FILE:pepperbay_fakes>")
foreach(name path control_faults stops request_faults bad_messages)
  pepperbay_test(${name}_test ${CMAKE_SOURCE_DIR}/tests/${name}_test.cpp pepperbay_cluster)
  add_dependencies(${name}_test pepperbay pepperbay_fakes)
  set_tests_properties(${name}_test PROPERTIES TIMEOUT 600)
endforeach()

# The users' platform as a stand-in, and the whole path before it with real processes.
add_library(pepperbay_platform_fakes STATIC platform/fake/engine_messages.cpp
                                            platform/fake/fake_store.cpp
                                            platform/fake/fake_engine_farm.cpp
                                            platform/fake/repeat_checker.cpp)
target_link_libraries(pepperbay_platform_fakes PUBLIC pepperbay_platform)
target_link_libraries(pepperbay_platform_fakes PRIVATE pepperbay_warnings)
pepperbay_test(platform_store_contract_test ${CMAKE_SOURCE_DIR}/platform/store_contract_test.cpp
               pepperbay_platform_fakes)
pepperbay_test(platform_reach_soak_test ${CMAKE_SOURCE_DIR}/platform/reach_soak_test.cpp
               pepperbay_platform_fakes)
pepperbay_test(platform_pause_soak_test ${CMAKE_SOURCE_DIR}/platform/pause_soak_test.cpp
               pepperbay_platform_fakes)
add_executable(pepperbay_fake_platform platform/fake/main.cpp)
target_link_libraries(pepperbay_fake_platform PRIVATE pepperbay_platform_fakes absl::flags
                      absl::flags_parse pepperbay_warnings)
pepperbay_test(edge_path_test ${CMAKE_SOURCE_DIR}/platform/edge_path_test.cpp pepperbay_cluster)
target_compile_definitions(
  edge_path_test PRIVATE PEPPERBAY_FAKE_PLATFORM="$<TARGET_FILE:pepperbay_fake_platform>")
add_dependencies(edge_path_test pepperbay pepperbay_fake_platform)
add_executable(pepperbay_fake_engine platform/fake/engine_process.cpp)
target_link_libraries(pepperbay_fake_engine PRIVATE pepperbay_platform_fakes absl::flags
                      absl::flags_parse pepperbay_warnings)
pepperbay_test(platform_repeat_checker_test ${CMAKE_SOURCE_DIR}/platform/repeat_checker_test.cpp
               pepperbay_platform_fakes)
pepperbay_test(platform_repeat_soak_test ${CMAKE_SOURCE_DIR}/platform/repeat_soak_test.cpp
               pepperbay_platform_fakes pepperbay_cluster)
pepperbay_test(platform_leave_soak_test ${CMAKE_SOURCE_DIR}/platform/leave_soak_test.cpp
               pepperbay_platform_fakes pepperbay_cluster)
pepperbay_test(platform_odd_entries_test ${CMAKE_SOURCE_DIR}/platform/odd_entries_test.cpp
               pepperbay_platform_fakes pepperbay_cluster)
foreach(name repeat_soak leave_soak odd_entries)
  target_compile_definitions(platform_${name}_test PRIVATE
                             PEPPERBAY_FAKE_ENGINE="$<TARGET_FILE:pepperbay_fake_engine>")
  add_dependencies(platform_${name}_test pepperbay pepperbay_fake_engine)
endforeach()

# Measurements; run by scripts/bench_*.sh, never by tests.
add_executable(pepperbay_load bench/load.cpp)
target_link_libraries(pepperbay_load PRIVATE pepperbay_http nlohmann_json::nlohmann_json absl::flags
                      absl::flags_parse absl::strings pepperbay_warnings)
add_executable(pepperbay_bench_placement bench/placement.cpp)
target_link_libraries(pepperbay_bench_placement PRIVATE pepperbay_placement absl::flags
                      absl::flags_parse pepperbay_warnings)
add_executable(pepperbay_bench_relay bench/relay.cpp)
target_include_directories(pepperbay_bench_relay PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(pepperbay_bench_relay PRIVATE pepperbay_relay pepperbay_http absl::flags
                      absl::flags_parse pepperbay_warnings)
add_executable(pepperbay_bench_pools bench/pools/main.cpp bench/pools/pool_world.cpp
                                     bench/pools/sheet.cpp bench/pools/stream_load.cpp)
target_include_directories(pepperbay_bench_pools PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(pepperbay_bench_pools PRIVATE pepperbay_placement pepperbay_routing
                      pepperbay_dispatch pepperbay_places absl::flags absl::flags_parse pepperbay_warnings)
add_executable(pepperbay_bench_limits bench/limits.cpp)
target_link_libraries(pepperbay_bench_limits PRIVATE pepperbay_admission absl::flags absl::flags_parse
                      pepperbay_warnings)
add_executable(pepperbay_bench_retries bench/retries.cpp)
target_include_directories(pepperbay_bench_retries PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(pepperbay_bench_retries PRIVATE pepperbay_retries pepperbay_warnings)
add_executable(pepperbay_bench_ways bench/ways.cpp)
target_link_libraries(pepperbay_bench_ways PRIVATE pepperbay_reach absl::flags absl::flags_parse
                      pepperbay_warnings)
add_executable(pepperbay_bench_fleet bench/fleet.cpp)
target_include_directories(pepperbay_bench_fleet PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(pepperbay_bench_fleet PRIVATE pepperbay_coordinator absl::flags absl::flags_parse
                      pepperbay_warnings)
add_executable(pepperbay_bench_routing bench/routing.cpp)
target_link_libraries(pepperbay_bench_routing PRIVATE pepperbay_routing pepperbay_admission
                      absl::flags absl::flags_parse pepperbay_warnings)

# One small program for each coordination library; the tests run them.
foreach(example state/fold lease/holder journal/appender membership/wholeness placement/repair
                admission/shares quarantine/hold reach/partitioned routing/choose dispatch/once places/ask
                retries/share status/report)
  get_filename_component(library ${example} DIRECTORY)
  string(REPLACE "/" "_" name example_${example})
  add_executable(${name} examples/${example}.cpp)
  target_link_libraries(${name} PRIVATE pepperbay_${library} pepperbay_warnings)
  add_test(NAME ${name} COMMAND ${name})
endforeach()
