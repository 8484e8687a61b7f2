// Messages between entries. Each frame on a TCP connection is a 32-bit
// big-endian length followed by one `envelope` in Thrift's compact protocol.

namespace cpp masticshift.wire

// Load of one service at one entry.
struct service_load {
  1: string service_name
  2: i32 idle_slots
  3: i32 queued_tasks
}

// The entry at `address` has taken over the ids of a stopped process.
struct succession {
  1: string stopped_address
  2: i64 stopped_incarnation
  3: string address
  4: i64 incarnation
  // How often these ids have been handed over. A succession with a higher
  // number replaces one with a lower number.
  5: i32 handovers
  // Time since the handover.
  6: i32 age_ms
}

// An endpoint that the platform's VM list shows as leaving, or as live again
// after that.
struct leaving_notice {
  1: string endpoint
  // Time of that list by the platform's clock.
  2: i64 as_of_us
  // The list shows the endpoint as live again.
  3: optional bool returned
}

struct heartbeat {
  1: string address
  2: i64 incarnation
  3: i32 generation
  4: string data_centre
  // Revision of the configuration in force. 0: none.
  5: i64 revision
  // The loads of some services. For the others, the receiver keeps the last
  // reported values.
  6: list<service_load> loads
  // Endpoints that the sender has seen leaving or learnt of through gossip.
  7: list<leaving_notice> leaving_endpoints
  8: bool draining
  9: list<succession> successions
  // Grows with each heartbeat of an incarnation.
  10: i64 sequence
  // Digest of all leaving notices and successions that the sender knows. An
  // entry includes the items in its heartbeats while they are recent, and when
  // the digests of two entries differ.
  11: i64 news_digest
}

// The receiver's own heartbeat. Saves a separate call in the other direction.
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
  // A `forward_kind`, as a number, so that the receiver can decode and refuse
  // a kind that it does not know.
  1: i32 kind
  2: string id
  // `submit`: the body of the caller's job, or the raw input of a request.
  3: binary body
  // Set for a single request, empty for a job.
  4: string request_service
  5: bool idempotent
  6: i32 timeout_ms
  7: i32 wait_ms
}

struct forward_reply {
  // A `result_code`, as a number.
  1: i32 code
  // A `ran_state`, by its name.
  2: string ran
  3: string detail
  // HTTP status and body to pass to the caller unchanged.
  4: i32 http_status
  5: binary body
  6: string content_type
}

// Asks the receiver to lend slots of a service.
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

// Returns borrowed slots to their lender.
struct give_back {
  1: string borrower
  2: i64 incarnation
  3: list<lent_slot> slots
}

// Asks for the configuration text in force.
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

// A part of the id table of a process that is stopping.
struct handover {
  1: string address
  2: i64 incarnation
  3: i32 oldest_generation
  4: i32 newest_generation
  5: i32 part
  6: bool last
  7: list<handover_record> records
  // Number of records of the whole table.
  8: i32 record_count
}

struct handover_reply {
  1: bool accepted
}

struct acknowledgement {
}

// Keep-alive probe of a connection. The server responds with an acknowledgement
// without calling its handler.
struct probe {
}

// The call was refused before it reached the handler.
struct refusal {
  // A `result_code`, as a number.
  1: i32 code
  2: string detail
}

// An entry, as its peers know it.
struct entry_record {
  1: string address
  2: i64 incarnation
  3: string data_centre
  // Thousandths of a core that the entry may use.
  4: i32 processor
}

// The steady clock of an entry. A message that carries the receiver's own reading
// was sent after that time.
struct clock_reading {
  1: i64 incarnation
  2: i64 clock_ms
}

// The sender claims to dispatch a cell with this fencing token.
struct dispatch_claim {
  1: string cell
  2: i64 token
  // Number of endpoints that it can place tasks on.
  3: i64 endpoints
  // Thousandths of a core that are free on these endpoints; 0 while tasks wait.
  4: i64 free_processor
  // The sender is handing its endpoints over to the next dispatcher.
  5: bool retiring
  // Time that all its endpoints together need for the waiting tasks.
  6: i64 backlog_ms
  // Expected wait of a new job by the priority of its queue, from priority 0 on.
  // The last one holds for all further priorities. Empty from entries that do not
  // know it.
  7: list<i64> waits_ms
  // The largest number of thousandths of a core that is free on one endpoint.
  8: i64 largest_free_processor
  // The cell's data centre is evacuated: nothing is started on its endpoints.
  9: bool evacuated
}

// A claim that another entry has sent.
struct relayed_claim {
  1: entry_record holder
  2: dispatch_claim claim
  // Time since the holder sent it.
  3: i64 age_ms
}

// A job that the sender has withdrawn from the receiver, without an
// acknowledgement so far.
struct withdrawn_job {
  1: string id
  2: string cell
  // The last submission of the job that is withdrawn.
  3: i64 submission
}

// Heartbeat of an entry that serves callers of the platform.
struct pulse {
  1: entry_record sender
  2: bool leaving
  3: list<dispatch_claim> claims
  4: i64 configuration_version
  // The highest fencing token that the sender knows.
  5: i64 highest_token
  // Some of the entries that the sender knows.
  6: list<entry_record> known
  // The sender sends the next one to this receiver after one interval.
  7: bool is_periodic
  // The response should contain the claims of other entries.
  8: bool wants_claims
  9: list<relayed_claim> relayed
  // The sender's steady clock when it made this heartbeat.
  10: i64 clock_ms
  // The receiver's newest clock reading that the sender has: its jobs were wanted
  // at that time. Incarnation 0 if this message says nothing about them. Absent
  // from entries that do not know it.
  11: optional clock_reading last_reading
  12: list<withdrawn_job> withdrawals
  // Version of the store at which the sender's list of evacuated data centres was
  // read last. 0: it has read none.
  13: i64 evacuations_version
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

// A job for the dispatcher of a cell. The response is sent when the job has
// ended.
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
  // How long the caller waits for the answer.
  10: i64 patience_ms
  11: entry_record origin
  12: string cell
  // The dispatcher refuses the job unless the tasks of its first steps can all
  // start immediately.
  13: bool only_if_idle
  // Time since the entry accepted the job.
  14: i64 age_ms
  // The entry numbers its submissions in ascending order.
  15: i64 submission
  // The receiver's newest clock reading that the entry had when it sent the job;
  // incarnation 0 if it had none. Absent from entries that do not know it.
  16: optional clock_reading last_reading
}

struct dispatch_reply {
  // A `job_end` and an `end_reason`, as numbers.
  1: i32 outcome
  2: i32 reason
  3: i64 retry_after_ms
  // The dispatcher's clock when it sent the reply.
  4: clock_reading reading
}

// Withdraws a job because its caller has disconnected or because the call that
// submitted it failed without a response.
struct withdraw_job {
  1: string id
  2: entry_record origin
  3: string cell
  // The last submission of the job that is withdrawn.
  4: i64 submission
}

// The sender, a retiring dispatcher, has no running tasks left on these
// endpoints.
struct release_endpoints {
  1: list<string> endpoints
  // The sender has no other endpoints left to release.
  2: bool last
  3: string cell
}

struct learnt_speed {
  1: string vm
  2: double speed
}

// VM speeds that a dispatcher has estimated, for entries that may take over its
// cell.
struct share_speeds {
  1: list<learnt_speed> speeds
}

// Asks a peer to read from the platform's store on behalf of an entry whose own
// reads fail.
struct relay_read {
  1: string target
  2: i32 timeout_ms
}

struct relay_read_reply {
  // 0: the store did not respond to the peer either.
  1: i32 status
  2: binary body
}

// Asks for the evacuated data centres that the receiver knows.
struct fetch_evacuations {
}

struct fetch_evacuations_reply {
  // Version of the store at which they were read. 0: none was read yet.
  1: i64 version
  2: list<string> data_centres
}

// A caller has cancelled a job: nothing of it is started any more.
struct cancel_job {
  1: string id
  // Time since the caller's request.
  2: i64 age_ms
}

struct cancel_job_reply {
  // The receiver had an open job of this id, or knows that it was cancelled.
  1: bool known
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
  24: fetch_evacuations evacuations_call
  25: fetch_evacuations_reply evacuations_answer
  26: cancel_job cancel_call
  27: cancel_job_reply cancel_answer
}

struct envelope {
  // Chosen by the calling side; the response repeats it.
  1: i64 correlation
  2: message content
}
