// Messages between entries. Each frame on a TCP connection is a 32-bit
// big-endian length followed by one `envelope` in Thrift's compact protocol.

namespace cpp masticshift.wire

// Load of one service at one entry.
struct service_load {
  1: string service_name
  2: i32 idle_slots
  3: i32 queued_tasks
}

// The entry at `address` answers for the ids of a stopped process.
struct succession {
  1: string stopped_address
  2: i64 stopped_incarnation
  3: string address
  4: i64 incarnation
  // Handovers since the ids were formed. A later handover replaces an earlier
  // one.
  5: i32 handovers
  // Time since the handover.
  6: i32 age_ms
}

// An endpoint that a VM list showed as leaving.
struct leaving_notice {
  1: string endpoint
  // Time of that list by the platform's clock.
  2: i64 as_of_us
  // The list showed it live again instead.
  3: optional bool returned
}

struct heartbeat {
  1: string address
  2: i64 incarnation
  3: i32 generation
  4: string data_centre
  5: i64 revision
  // Some of the loads; the others stay as they were told before.
  6: list<service_load> loads
  // Endpoints seen leaving by the sender or by entries that it heard of.
  7: list<leaving_notice> leaving_endpoints
  8: bool draining
  9: list<succession> successions
  // Grows with each heartbeat of an incarnation.
  10: i64 sequence
  // Digest of all leaving notices and successions that the sender knows.
  // Entries pass on the items while they are new, and when digests differ.
  11: i64 news_digest
}

// The receiver's own heartbeat, so that it needs no call for it.
struct heartbeat_reply {
  1: heartbeat beat
}

enum forward_kind {
  submit = 1
  fetch = 2
  cancel = 3
}

// A caller's call on an id whose home is the receiver.
struct forward {
  // A `forward_kind`, as a number: the receiver has to be able to look at one
  // that it does not know.
  1: i32 kind
  2: string id
  // `submit`: the caller's body, for requests the raw input.
  3: binary body
  // Set for a single request, empty for a job.
  4: string request_service
  5: bool idempotent
  6: i32 timeout_ms
  7: i32 wait_ms
}

struct forward_reply {
  1: i32 code
  2: string ran
  3: string detail
  // HTTP status and body to be passed to the caller as they are.
  4: i32 http_status
  5: binary body
  6: string content_type
}

struct borrow {
  1: string service_name
  2: i32 count
  3: string borrower
  4: i64 incarnation
}

struct lent_slot {
  1: string endpoint
  2: i32 slot
  // Time from sending until the loan ends.
  3: i32 valid_ms
}

struct borrow_reply {
  1: list<lent_slot> slots
}

struct give_back {
  1: string borrower
  2: i64 incarnation
  3: list<lent_slot> slots
}

struct fetch_text {
}

struct fetch_text_reply {
  1: i64 revision
  2: string text
}

struct handover_record {
  1: string id
  2: binary digest
  3: i32 code
  4: string ran
  5: i32 http_status
  6: binary answer
  7: string content_type
}

// A part of the table of ids of a process that stops.
struct handover {
  1: string address
  2: i64 incarnation
  3: i32 oldest_generation
  4: i32 newest_generation
  5: i32 part
  6: bool last
  7: list<handover_record> records
  // Records of the whole table.
  8: i32 record_count
}

struct handover_reply {
  1: bool accepted
}

struct acknowledgement {
}

// Asks the connection itself for a sign of life; answered with an
// acknowledgement before any handler.
struct probe {
}

// The call was turned away before its handler saw it.
struct refusal {
  1: i32 code
  2: string detail
}

// An entry as others know it.
struct entry_record {
  1: string address
  2: i64 incarnation
  3: string data_centre
  // Thousandths of a core that it may use.
  4: i32 processor
}

// The sender dispatches a cell with this token.
struct dispatch_claim {
  1: string cell
  2: i64 token
  // Endpoints that it can place tasks on.
  3: i64 endpoints
  // Thousandths of a core that are free on them.
  4: i64 free_processor
  // Hands its endpoints over to the next dispatcher.
  5: bool retiring
  // How long all its endpoints together need for the tasks that wait.
  6: i64 backlog_ms
}

// Sign of life of an entry that serves callers of the users' platform.
struct pulse {
  1: entry_record sender
  2: bool leaving
  3: list<dispatch_claim> claims
  4: i64 configuration_version
  // The highest token that the sender knows of.
  5: i64 highest_token
  // Some of the entries that the sender knows.
  6: list<entry_record> known
}

struct pulse_reply {
  1: pulse beat
}

struct dispatch_step {
  1: i32 task_count
  2: i64 processor
  3: i64 memory_mb
  4: i64 accelerators
  5: i64 estimate_ms
  6: string required_label
  7: string preferred_rack
  8: i32 max_per_endpoint
  9: list<i32> after
}

// A job for the dispatcher. The answer comes when it has ended.
struct dispatch_job {
  1: string id
  2: string payload
  3: list<dispatch_step> steps
  4: string queue
  5: string service_name
  6: i32 priority
  7: i32 max_attempts
  8: double slack_factor
  9: i64 target_latency_ms
  10: i64 patience_ms
  11: entry_record origin
  12: string cell
  // Refused unless all its first tasks can start at once.
  13: bool only_if_idle
  // How long ago the entry took the job.
  14: i64 age_ms
}

struct dispatch_reply {
  // A `job_end` and an `end_reason`, as numbers.
  1: i32 outcome
  2: i32 reason
  3: i64 retry_after_ms
}

// The caller of a job is gone.
struct withdraw_job {
  1: string id
  2: entry_record origin
  3: string cell
}

// Nothing of the sender's runs on these endpoints any more.
struct release_endpoints {
  1: list<string> endpoints
  // The sender has none left.
  2: bool last
  3: string cell
}

struct learnt_speed {
  1: string vm
  2: double speed
}

// What a dispatcher has learnt, for those who may follow it.
struct share_speeds {
  1: list<learnt_speed> speeds
}

// Asks a peer to read from the platform's store, for an entry that the store
// turns away.
struct relay_read {
  1: string target
  2: i32 timeout_ms
}

struct relay_read_reply {
  // 0: the store did not answer the peer either.
  1: i32 status
  2: binary body
}

union message {
  1: heartbeat heartbeat_call
  2: heartbeat_reply heartbeat_answer
  3: forward forward_call
  4: forward_reply forward_answer
  5: borrow borrow_call
  6: borrow_reply borrow_answer
  7: give_back give_back_call
  8: fetch_text fetch_text_call
  9: fetch_text_reply fetch_text_answer
  10: handover handover_call
  11: handover_reply handover_answer
  12: acknowledgement acknowledgement_answer
  13: refusal refusal_answer
  14: probe probe_call
  15: pulse pulse_call
  16: pulse_reply pulse_answer
  17: dispatch_job dispatch_call
  18: dispatch_reply dispatch_answer
  19: withdraw_job withdraw_call
  20: release_endpoints release_call
  21: share_speeds speeds_call
  22: relay_read relay_call
  23: relay_read_reply relay_answer
}

struct envelope {
  // Chosen by the caller; the answer repeats it.
  1: i64 correlation
  2: message content
}
