/* Messages between balancers. A field number is never used again for another meaning. */

struct MemberState {
  1: string member
  2: string host
  3: i64 peer_port
  4: i64 relay_port
  5: i64 api_port
  6: string data_centre
  7: i64 incarnation
  8: i64 status
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

struct LoadReport {
  1: string service_name
  2: i64 revision
  3: binary counts
}

struct Loads {
  1: list<LoadReport> reports
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

struct BucketState {
  1: string service_name
  2: i64 shard
  3: i64 epoch
  4: i64 version
  5: bool tracked
  6: string base
}

struct ShardState {
  1: i64 shard
  2: i64 epoch
  3: string owner
}

struct Join {
  1: i64 request
  2: MemberState sender
}

struct JoinReply {
  1: i64 request
  2: i64 part
  3: i64 n_parts
  4: MemberState sender
  5: list<MemberState> members
  6: list<ShardState> shards
  7: list<BucketState> buckets
  8: list<FlowGroup> pins
}

struct BucketUpdate {
  1: i64 request
  2: list<ShardState> shards
  3: list<BucketState> buckets
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
  7: list<BucketState> buckets
  8: list<FlowGroup> pins
  9: list<FlowGroup> records
}

struct Gather {
  1: i64 request
  2: list<ShardState> shards
}

struct GatherReply {
  1: i64 request
  2: i64 config_revision
  3: i64 part
  4: i64 n_parts
  5: list<BucketState> buckets
  6: list<FlowGroup> pins
  7: list<FlowGroup> records
  8: list<ShardState> later
}

struct Done {
  1: i64 request
  2: bool accepted
  3: list<ShardState> shards
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
  4: Loads loads
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
  1: i64 version
  2: string sender
  3: i64 incarnation
  4: i64 sequence
  5: Body body
}
