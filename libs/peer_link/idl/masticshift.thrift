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
}

struct envelope {
  // Chosen by the caller; the answer repeats it.
  1: i64 correlation
  2: message content
}
