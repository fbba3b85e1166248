/**
 * Messages between waxwinglb's own processes.
 *
 * A frame on a link consists of a 4-byte big-endian length, a `header` and the body struct that
 * `header.kind` names, both in Thrift's compact protocol. An answer carries the call number of the
 * message it answers. Times are sent as remaining durations in milliseconds, never as clock readings.
 */
namespace cpp waxwinglb.wire

enum message_kind {
  heartbeat = 1, heartbeat_ack = 2, hello = 3,
  run_request = 10, run_accepted = 11, run_chunk = 12, run_finished = 13, run_refused = 14,
  resume_request = 15, cancel_request = 16, cancel_result = 17, ack_request = 18,
  watch_target = 20, target_report = 21, load_order = 22, unload_order = 23, order_result = 24,
  locate_request = 30, locate_result = 31, not_holder = 32,
  view_request = 33, replica_view = 34,
  draw_request = 40, draw_result = 41,
  claim_request = 50, claim_result = 51, claim_outcome = 52, claim_outcome_ack = 53,
  slot_request = 55, slot_result = 56,
  crash_report = 60, quarantine_notice = 61,
  subscribe_config = 70, config_update = 71, config_fresh = 72, acceptor_status = 73, apply_report = 74,
  feed_elsewhere = 75,
  stood_down = 82,
  peer_status = 90, turn_request = 91, turn_answer = 92, turn_use = 93
}

/** Whether a request was run at its target. */
enum run_state { not_run = 0, run = 1, unknown = 2 }

enum refusal {
  none = 0, overloaded = 1, deadline_too_short = 2, draining = 3, data_centre_out = 4, model_not_loaded = 5,
  old_fencing = 6, no_memory = 7, quarantined = 8, duplicate = 9, tombstoned = 10, not_fresh = 11,
  rate_limited = 12, target_failed = 13, store_unavailable = 14, not_holder = 15, bad_message = 16,
  unknown_request = 17, isolation_busy = 18
}

struct header { 1: i64 call, 2: message_kind kind, 3: i64 clock }   // clock: sender's hybrid logical clock

struct heartbeat { 1: i64 sequence }
struct heartbeat_ack { 1: i64 sequence }
/** The first message on each link, sent by both ends. boot distinguishes the starts of one process. */
struct hello { 1: string process, 2: string role, 3: string data_centre, 4: i64 boot }

/** A target's load as its agent sees it; sent with every answer, which spares the routers polling. */
struct replica_load { 1: i32 running, 2: i32 waiting, 3: i32 limit, 4: bool draining, 5: i64 boot, 6: i64 estimate_ms }

// ---- requests: router to agent -------------------------------------------------------------------

struct header_field { 1: string name, 2: string value }

struct run_request {
  1: string request_id, 2: i32 attempt, 3: string customer, 4: string service_name, 5: string model,
  6: string adapter, 7: i64 remaining_ms, 8: i32 priority, 9: bool repeatable, 10: i64 prompt_tokens,
  11: i64 max_tokens, 12: string method, 13: string path, 14: list<header_field> headers, 15: binary body,
  16: i64 config_revision, 17: string fingerprint, 18: bool isolate, 19: bool stream, 20: double weight
}
struct run_accepted { 1: string request_id, 2: i32 attempt, 3: i64 agent_boot }
/** One chunk of an answer body at a byte offset, by which the receiver detects lost and repeated chunks. */
struct run_chunk { 1: string request_id, 2: i32 attempt, 3: i64 offset, 4: binary data }
struct run_finished {
  1: string request_id, 2: i32 attempt, 3: i32 status, 4: i64 length, 5: i64 used_tokens,
  6: list<header_field> headers, 7: replica_load load
}
struct run_refused {
  1: string request_id, 2: i32 attempt, 3: refusal reason, 4: run_state ran, 5: i64 retry_after_ms,
  6: string detail, 7: bool suspect, 8: replica_load load
}
/** Requests a stored or running answer from an offset on; may come over another link than the run_request. */
struct resume_request { 1: string request_id, 2: i32 attempt, 3: i64 offset }
/**
 * Cancels a request. If the agent has not received it, the agent sets a tombstone that keeps it from running
 * later, and answers not_run. agent_boot is the boot in the hello of the link that the run_request was sent on, 0
 * if it was never sent: an agent with another boot does not know what its former process ran, and answers unknown.
 */
struct cancel_request { 1: string request_id, 2: i32 attempt, 3: i64 agent_boot }
struct cancel_result { 1: string request_id, 2: i32 attempt, 3: run_state ran }
struct ack_request { 1: string request_id, 2: i32 attempt }

// ---- targets: steward to agent -------------------------------------------------------------------

struct loaded_model {
  1: string model, 2: string version, 3: i64 decision, 4: string state,   // loading, loaded, unloading, unknown
  5: i64 bytes, 6: i64 idle_ms, 7: list<string> adapters
}
struct watch_target { 1: string steward }
struct target_report {
  1: string target, 2: string vm, 3: string data_centre, 4: string service_name, 5: i64 boot, 6: i64 memory_bytes,
  7: i64 free_bytes, 8: list<loaded_model> models, 9: replica_load load, 10: bool draining, 11: i64 config_revision,
  12: i64 sequence
}
struct load_order { 1: string model, 2: string version, 3: i64 decision, 4: i64 fencing, 5: i64 bytes, 6: i64 remaining_ms, 7: i64 slot_ms }
struct unload_order { 1: string model, 2: string version, 3: i64 decision, 4: i64 fencing }
struct order_result { 1: string target, 2: string model, 3: i64 decision, 4: refusal reason, 5: string state, 6: i64 free_bytes, 7: string detail }

// ---- control shards ------------------------------------------------------------------------------

struct locate_request { 1: i32 shard }
struct locate_result { 1: i32 shard, 2: string holder, 3: string address, 4: i64 fencing, 5: i64 valid_ms }
struct not_holder { 1: i32 shard, 2: string holder, 3: string address, 4: i64 fencing }

struct waiting_work { 1: string customer, 2: i32 requests, 3: i64 tokens, 4: i64 oldest_remaining_ms }
/** Requests a model's replicas; `waiting` causes a cold model to be loaded. The answer is sent again on each change. */
struct view_request { 1: string service_name, 2: string model, 3: list<waiting_work> waiting, 4: i64 served_since, 5: string data_centre }
struct replica { 1: string target, 2: string address, 3: string data_centre, 4: string state, 5: replica_load load, 6: list<string> adapters }
struct quarantine { 1: string fingerprint, 2: i64 remaining_ms, 3: i32 crashes, 4: bool condemned }
struct replica_view {
  1: string service_name, 2: string model, 3: i64 decision, 4: i64 fencing, 5: i64 valid_ms, 6: list<replica> replicas,
  7: i64 estimate_ms, 8: list<quarantine> quarantined, 9: refusal reason, 10: i64 retry_after_ms
}

/**
 * Draws tokens from a customer's rate and settles grants that this router drew earlier. The counts are totals since
 * the grant was issued: spent (reserved by requests), returned (never reserved), corrected (the part of spent that
 * was not used in the end).
 */
struct grant_settlement { 1: i64 grant, 2: i64 spent, 3: i64 returned, 4: i64 corrected }
struct draw_request { 1: string customer, 2: i64 wanted, 3: list<grant_settlement> settled, 4: string router }
struct draw_result { 1: string customer, 2: i64 grant, 3: i64 tokens, 4: i64 valid_ms, 5: i64 retry_after_ms, 6: refusal reason, 7: i64 fencing }

struct claim_record {
  1: string key, 2: string fingerprint, 3: string request_id, 4: i32 attempt, 5: string target, 6: string address,
  7: string state,            // running, done, not_run, unknown
  8: i32 status, 9: binary answer, 10: i64 expires_unix_ms, 11: string content_type
}
struct claim_request { 1: claim_record record, 2: i64 remaining_ms }
/** granted: this request may run now. Otherwise `existing` is the record of the earlier request with this key. */
struct claim_result { 1: string key, 2: bool granted, 3: claim_record existing, 4: refusal reason, 5: i64 retry_after_ms, 6: bool mismatch }
struct claim_outcome { 1: claim_record record }
struct claim_outcome_ack { 1: string key, 2: bool stored }

/** held: the sender already has a slot, granted by an earlier holder of the queue. */
struct slot_request { 1: string service_name, 2: string model, 3: i64 remaining_ms, 4: i32 adapters, 5: bool release, 6: bool held, 7: string customer }
struct slot_result { 1: string service_name, 2: string model, 3: bool granted, 4: i64 estimate_ms }

struct crash_report { 1: string service_name, 2: string model, 3: list<string> fingerprints, 4: bool isolated, 5: string target }
struct quarantine_notice { 1: list<quarantine> entries }

// ---- configuration -------------------------------------------------------------------------------

/** One accepted change: key is "<kind>/<name>", value is JSON, or empty for a deletion. */
struct config_entry { 1: i64 revision, 2: string key, 3: string value }
struct subscribe_config { 1: i64 have_revision }
/** The entries after from_revision; a snapshot (from_revision 0) replaces all. part/parts split a large snapshot. */
struct config_update { 1: i64 from_revision, 2: i64 revision, 3: list<config_entry> entries, 4: i32 part, 5: i32 parts }
/** Sent at regular intervals on each feed link; fresh_ms: how long after receipt the revision counts as current. */
struct config_fresh { 1: i64 revision, 2: i64 fresh_ms }
struct acceptor_status { 1: string acceptor, 2: i64 accepted_revision, 3: i64 store_unreachable_ms }
struct apply_report { 1: string process, 2: i64 revision }

/** Answer of a steward at its limit of subscribers to subscribe_config: other stewards to subscribe at. */
struct feed_elsewhere { 1: list<string> addresses }

/** A former holder no longer grants anything for this shard; its successor then stops halving the rates. */
struct stood_down { 1: i32 shard, 2: string holder, 3: i64 boot, 4: i64 fencing }

// ---- between gateways, one datagram each ---------------------------------------------------------

/** Requests that one gateway now has at a target, by model ("MODEL" or "MODEL/ADAPTER"; empty for plain services). */
struct target_use { 1: string target, 2: string model, 3: i32 running, 4: i64 idle_ms }
/** Requests waiting at one gateway for a model, and the rate of requests for it per second. */
struct model_demand { 1: string service_name, 2: string model, 3: i32 waiting, 4: i64 oldest_ms, 5: i32 priority, 6: double per_second }
/** Tokens that a gateway has taken from a customer's rate since its start. */
struct customer_use { 1: string customer, 2: double tokens }
struct coming_model { 1: string model, 2: i64 ready_ms }
/** What a target holds, as known to the gateway that sends it orders. coming: models being loaded. */
struct target_holding { 1: string target, 2: i64 born, 3: i64 sequence, 4: list<string> models, 5: list<coming_model> coming }
/**
 * A start of a target that was draining or not registered as of a place in the store's history (era, revision; the highest
 * values: it said so itself), which a gateway read age_ms ago. remaining_ms: time until it is removed at short notice; unset
 * if it isn't, or nothing is known of it.
 */
struct leaving_target {
  1: string target, 2: i64 born, 3: optional i64 remaining_ms, 4: optional i64 era, 5: optional i64 revision,
  6: optional i64 age_ms
}
/** Requests a second that a target takes from all gateways together, as it said age_ms ago; -1: no limit any more. */
struct target_limit { 1: string target, 2: i64 born, 3: double per_second, 4: i64 age_ms }
/** A data centre that stays out for so long, although the store, restored from an older copy, lacks its entry. */
struct held_centre { 1: string data_centre, 2: i64 left_ms }
/** A target's registration, for a gateway that can't read the store. era, revision: of its last change. */
struct target_registration {
  1: string target, 2: i64 born, 3: string service_name, 4: string address, 5: string data_centre, 6: i32 slots,
  7: bool draining, 8: i64 cold_ms, 9: string software_version, 10: optional i64 era, 11: optional i64 revision
}
/**
 * How old what the sender knows of the store is: it knows all changes up to that time ago, of one kind each; -1: it has
 * known of none. era, revision: of the registrations that it sends.
 */
struct store_view { 1: i64 departures_ms, 2: i64 configuration_ms, 3: i64 data_centres_ms, 4: i64 era, 5: i64 revision }
/**
 * Streams that began at targets of one version, by hashes of the request ids that brought their first events. weights,
 * adapter_version: if the targets state them.
 */
struct stream_origins {
  1: string software_version, 2: list<i64> attempts, 3: optional i64 weights, 4: optional string adapter_version
}
/** Versions that targets of a service state, or stated until age_ms ago. */
struct dated_software { 1: string software_version, 2: i64 age_ms }
struct dated_weights { 1: string model, 2: i64 weights, 3: i64 age_ms }
struct dated_adapter { 1: string adapter, 2: string adapter_version, 3: i64 age_ms }
struct dated_versions {
  1: string service_name, 2: list<dated_software> software, 3: list<dated_weights> weights, 4: list<dated_adapter> adapters
}
/**
 * What is known of a prompt's part, or of a whole request by its fingerprint, that may crash targets: the target runs that
 * ended under it (of a request: its attempts), with their ages, and the age of its latest complete answer (-1: none known).
 */
struct suspect_part { 1: i64 part, 2: list<i64> target_runs, 3: list<i64> ages_ms, 4: i64 sound_age_ms }
/** Requests of a customer that began to run in one usage window, counted by one gateway. */
struct customer_runs { 1: string customer, 2: i64 requests }
/** A gateway's counts of one usage window. Totals, not changes: a repeated message counts once. */
struct usage_window { 1: i64 window, 2: list<customer_runs> runs }
/** What one gateway has learned of a target's lasting speed; 1 is the usual one. samples: answers it rests on. */
struct target_speed { 1: string target, 2: i64 born, 3: double speed, 4: i32 samples }
/** Requests that one gateway now has at a target. */
struct target_load { 1: string target, 2: i32 running }
/** Tokens by customer since the sender's start, and requests by target. */
struct usage_sums { 1: list<customer_use> customers, 2: list<target_load> loads }
/** A gateway that gives orders, or (active: false) has stopped to. age_ms: since it said so itself. */
struct order_giver_sighting { 1: string process, 2: string address, 3: i64 age_ms, 4: bool active, 5: bool reads_store }
/** A group of gateways, as one of its speakers sees it. hears: other groups. reader: a member reads the store closely. */
struct group_status {
  1: i32 in_contact, 2: i32 departed, 3: set<string> hears, 4: bool reader, 5: usage_sums sums,
  6: optional order_giver_sighting order_giver
}
/** All other groups together, as a member of one group sees them. speakers: of all groups, its own included. */
struct outside_status {
  1: i32 in_contact, 2: i32 departed, 3: list<string> speakers, 4: bool reader, 5: usage_sums sums,
  6: optional order_giver_sighting order_giver
}
/**
 * Status that a gateway sends to its peers. heard: members of its group that it is in contact with.
 * address: where the sender receives these datagrams. loads, customers: its own, sent to its group.
 * uses, demands: sent only to gateways that send orders to targets (gives_orders).
 * holdings: sent by the gateway that sends orders: recent changes, and each target again every few seconds; passed on
 * within a group by those who got them from another group. starts: in the same way: registrations of targets that
 * started or became cold.
 * reads_store: the sender watches the store closely for the others.
 * informed: it knows all that gateways knew when it started.
 * wants_registrations: the sender can't read the store; registrations: all of them, sent only to such a peer.
 * suspects: of earlier versions, in place of suspect_requests.
 * origins: the sender's streams that began lately; to a member that has just started, all that it knows of.
 * data_centre: empty if the sender is of a version that knows no groups. group: empty while the fleet is one group.
 * unix_ms: the sender's time of day; set where duties are configured, as usage is: the sender's usage windows that may not
 * have been reported yet, sent to gateways that give orders.
 * view: how old what it knows of the store is; leaving_targets then has all departures that it knows.
 * speeds: lasting speeds of targets; set only where targets state their load.
 * for_start: the message has what a member that has just started has missed: origins of all streams that the sender knows of,
 * and versions, if the sender knows all versions that targets had while callers wait for streams.
 * to_other_group: heard, loads and customers are left out. group_use: from a speaker to the other groups; outside: from
 * a speaker to its group. has_details: uses and demands are stated, maybe as none.
 */
struct peer_status {
  1: string process, 2: i64 boot, 3: i64 sequence, 4: bool leaving, 5: list<string> heard,
  6: i64 config_version, 7: string config_address, 8: i64 centres_revision, 9: list<string> centres_out,
  10: list<target_use> uses, 11: list<model_demand> demands, 12: list<customer_use> customers,
  13: list<target_holding> holdings, 14: list<leaving_target> leaving_targets, 15: list<quarantine> suspects,
  16: bool wants_registrations, 17: list<target_registration> registrations, 18: string address,
  19: list<target_load> loads, 20: bool gives_orders, 21: list<target_registration> starts,
  22: i64 centres_era, 23: list<held_centre> centres_held, 24: bool informed, 25: bool reads_store,
  26: string data_centre, 27: string group, 28: i32 fleet_size, 29: double processor_share, 30: bool to_other_group,
  31: optional group_status group_use, 32: optional outside_status outside, 33: bool has_details,
  34: list<suspect_part> suspect_parts, 35: list<target_limit> target_limits,
  36: list<stream_origins> origins, 37: list<suspect_part> suspect_requests, 38: optional i64 unix_ms,
  39: optional list<usage_window> usage, 40: optional list<target_speed> speeds, 41: optional store_view view,
  42: optional list<dated_versions> versions, 43: optional bool for_start
}

/**
 * A gateway asks the gateway that schedules a target's turns (its keeper) for a turn to send it a request. tokens: of
 * the prompt; 1 for a plain request. The optional fields describe the most urgent request for which the turn is asked, set
 * where turns are granted by urgency: priority, customer, slack_ms (until its latency target; negative: missed),
 * total_tokens (of prompt and answer), running (requests of the sender at the target).
 */
struct turn_request {
  1: string process, 2: string target, 3: i64 number, 4: i32 tokens, 5: optional i32 priority, 6: optional string customer,
  7: optional i64 slack_ms, 8: optional i64 total_tokens, 9: optional i32 running
}
/** given: the turn begins now; otherwise it is expected in about wait_ms. */
struct turn_answer { 1: string process, 2: string target, 3: i64 number, 4: bool given, 5: i64 wait_ms }
/** Reports the prompt tokens sent in a turn if they differ from those requested; 0: the turn was not used. */
struct turn_use { 1: string process, 2: string target, 3: i64 number, 4: i32 tokens }
