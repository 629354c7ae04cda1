/* Messages between balancers. Field numbers are never reused for other fields. */

struct MemberState {
  1: string member
  2: string host
  3: i32 peer_port
  4: i32 relay_port
  5: i32 api_port
  6: string data_centre
  7: i64 incarnation
  8: i16 status
  9: i64 config_revision
}

struct Ping {
  1: i64 sequence
  2: i64 config_revision
  4: i64 digest
  3: list<MemberState> updates
}

struct Ack {
  1: i64 sequence
  2: i64 config_revision
  4: i64 digest
  3: list<MemberState> updates
}

struct PingRequest {
  1: i64 sequence
  2: string target
}

struct ConfigPull {
  1: i64 after
}

struct EntryState {
  1: string key
  2: i64 revision
  3: bool deleted
  4: string value
}

struct ConfigDelta {
  1: i64 after
  2: i64 upto
  3: list<EntryState> entries
}

struct FlowGroup {
  1: string service_name
  2: i64 shard
  3: string server
  4: binary flows
}

/* Buckets of nine bytes each: shard (1), epoch (4), version (4). */
struct BucketGroup {
  1: string service_name
  2: string base
  3: bool tracked
  4: binary buckets
}

/* Claims of five bytes each: shard (1), epoch (4). */
struct ClaimGroup {
  1: string owner
  2: binary claims
}

struct Join {
  1: i64 request
  2: MemberState sender
  3: list<ClaimGroup> shards
}

struct JoinReply {
  1: i64 request
  2: i64 part
  3: i64 n_parts
  4: MemberState sender
  5: list<MemberState> members
  6: list<ClaimGroup> shards
  7: list<BucketGroup> buckets
  8: list<FlowGroup> pins
}

struct BucketUpdate {
  1: i64 request
  2: list<ClaimGroup> shards
  3: list<BucketGroup> buckets
  4: list<FlowGroup> pins
}

struct CopyRecords {
  1: i64 request
  2: i64 epoch
  3: i64 shard
  4: list<FlowGroup> groups
}

struct Handover {
  1: i64 request
  2: i64 shard
  3: i64 epoch
  4: i64 config_revision
  5: i64 part
  6: i64 n_parts
  7: list<BucketGroup> buckets
  8: list<FlowGroup> pins
  9: list<FlowGroup> records
}

struct Gather {
  1: i64 request
  2: list<ClaimGroup> shards
}

struct GatherReply {
  1: i64 request
  2: i64 config_revision
  3: i64 part
  4: i64 n_parts
  5: list<BucketGroup> buckets
  6: list<FlowGroup> pins
  7: list<FlowGroup> records
  8: list<ClaimGroup> later
}

struct Done {
  1: i64 request
  2: bool accepted
  3: list<ClaimGroup> shards
  4: list<FlowGroup> used
}

struct Hint {
  1: list<FlowGroup> groups
}

struct Seen {
  1: list<FlowGroup> groups
}

struct Evicted {
  1: i64 incarnation
  2: i64 n_present
}

struct Compare {
  1: binary digests
}

struct Health {
  1: list<string> down
}

union Body {
  1: Ping ping
  2: Ack ack
  3: PingRequest ping_request
  5: ConfigPull config_pull
  6: ConfigDelta config_delta
  7: Join join
  8: JoinReply join_reply
  9: BucketUpdate bucket_update
  10: CopyRecords copy_records
  11: Handover handover
  12: Gather gather
  13: GatherReply gather_reply
  14: Done done
  15: Hint hint
  16: Seen seen
  17: Health health
  18: Compare compare
  19: Evicted evicted
}

struct Envelope {
  1: i16 version
  2: string sender
  3: i64 incarnation
  4: i64 sequence
  5: Body body
}
