namespace cpp burdockring.wire

// Messages between routers. Ids are 32-bit hashes of object names; durations
// are milliseconds; charges, tags and estimates are tokens by weight.

struct DemandRow {
  1: i32 account
  2: i32 waiting
  3: i64 charged
  4: optional i64 tag
  5: optional i32 estimate
}

struct HeldRow {
  1: i32 target
  2: i32 held
  3: i32 idle
}

struct TargetObservation {
  1: i32 target
  2: i32 ended
  3: i32 failed
  4: i32 refused
  5: i32 microsPerToken
}

struct DemandReport {
  1: i32 serviceId
  8: i32 zone
  2: i32 sequence
  3: bool full
  4: list<DemandRow> demand
  5: list<HeldRow> held
  6: list<TargetObservation> observations
  7: i32 grantsSeen
  9: i64 epoch
}

struct GrantRow {
  1: i32 target
  2: i32 count
  3: i32 account
}

struct TagRow {
  1: i32 account
  2: i64 tag
}

struct GrantBatch {
  1: i32 serviceId
  9: i32 zone
  2: i32 sequence
  3: i64 floor
  4: bool contended
  5: list<GrantRow> grants
  6: list<TagRow> tags
  7: bool wantFull
  8: i32 reportSeen
  10: i64 epoch
}

struct ExchangeRow {
  1: i32 account
  2: i64 charged
  3: i64 tag
}

struct ZoneExchange {
  1: i32 serviceId
  5: i32 zone
  6: i64 epoch
  2: i64 virtualTime
  3: list<ExchangeRow> rows
  4: bool full
}

struct MemberNews {
  1: i32 router
  2: i64 incarnation
  3: i32 state
  4: i32 silentMillis
}

struct Heartbeat {
  1: i64 sequence
  2: bool leaving
  3: i64 configVersion
  4: list<MemberNews> members
  5: list<i32> leavingTargets
}

// A text too long for one datagram comes as several pieces, numbered from 0.
struct ConfigOffer {
  1: i64 version
  2: i64 judgedTo
  3: string changeId
  4: string text
  5: i32 piece
  6: i32 pieces
}

struct ConfigRequest {
  1: i64 haveVersion
}

struct TargetUse {
  1: i32 target
  2: i32 prefillTokens
  3: i32 running
  4: i32 memoryTokens
}

struct AccountUse {
  1: i32 account
  2: i64 askedTokens
  3: i64 givenTokens
}

// A target has read a part of a prompt, and keeps it.
struct PartRead {
  1: i32 target
  2: i64 part
}

// A request was lost at a target, before its answer began or soon after. Parts
// of its prompt: eight bytes each, the lowest first, without the last, which is
// its own.
struct LostRequest {
  1: i32 target
  2: binary parts
  3: i64 ageMicros
  // Age of the answer when it was lost; not set if none had begun.
  4: optional i64 answerMicros
  // Whole events of a stream that had come.
  5: optional i32 answerEvents
}

// A target's VM refused a connection: nothing listens on the target's port.
struct TargetDown {
  1: i32 target
  2: i64 ageMicros
}

// The answer to a request with this part goes on, or is whole.
struct PartBegun {
  1: i64 part
  2: i64 ageMicros
  // Age of the answer when this was observed.
  3: i64 answerMicros
  4: bool whole
  // Whole events of a stream that had come by then.
  5: optional i32 answerEvents
}

// Requests with all of these parts are rejected, or are no longer.
struct QuarantineRow {
  // Encoded as in LostRequest, ascending.
  1: binary parts
  2: bool lifted
  // Since the quarantine was imposed, renewed or lifted.
  3: i64 ageMicros
  // Until requests with the parts are tried again.
  4: i64 remainingMicros
  5: i32 renewals
}

// What routers know of prompts that crash targets.
struct CrashNews {
  1: list<LostRequest> lost
  2: list<TargetDown> down
  3: list<PartBegun> begun
  4: list<QuarantineRow> quarantined
}

// A zone whose targets get no requests.
struct ZoneDrainRow {
  1: i32 zone
  // Name of the zone, for logs.
  2: string name
}

// The drained zones as of an offset of the store's records in an epoch of the
// store.
struct ZoneDrainList {
  1: i64 storeEpoch
  2: i64 offset
  3: list<ZoneDrainRow> zones
  // Whether the sender waits for what a restored store has lost.
  4: bool held
}

// Targets that count as cold for the sender: ids of four bytes each, the lowest
// first, and how much longer they do, in units of 50 ms, one byte each.
struct ColdTargetList {
  // Whether the sender knows all cold targets and names them all.
  1: bool complete
  2: binary targets
  3: binary left
}

struct LoadReport {
  1: list<TargetUse> targets
  2: list<AccountUse> accounts
  3: i64 configVersion
  4: i64 configAgeMicros
  5: i64 stampMicros
  6: i64 echoMicros
  7: bool pressed
  8: list<PartRead> reads
  // Rows change those of earlier reports; otherwise they replace them all.
  9: bool partial
  // Targets that said of themselves that they leave.
  10: list<i32> leaving
  // Targets that were gone before the store came back from an older copy.
  11: list<i32> gone
  // Which life of the receiver sent the stamp that is echoed.
  12: i64 echoIncarnation
  13: optional CrashNews crashes
  14: optional ZoneDrainList drains
  15: optional ColdTargetList cold
}

// Asks a lead of the zone where a request may run. Numbers of requests are the
// asking router's own.
struct PlaceAsk {
  1: i64 request
  2: i32 serviceId
  3: i32 account
  4: i64 aimMicros
  // Since the request arrived.
  5: i64 waitedMicros
  // Until its caller gives up.
  6: i64 patienceMicros
  7: bool goesOn
  8: i32 promptTokens
  9: i32 outputTokens
  // Parts of the prompt in order: eight bytes each, the lowest first.
  10: binary parts
  11: list<i32> partTokens
  // Targets that it was sent to before, and may not go to again.
  12: list<i32> tried
  // Longest gap between two events with which the response is on time.
  13: optional i64 maxGapMicros
}

struct PlaceAnswer {
  1: i64 request
  // 0: it waits, 1: it starts, 2: it is turned away.
  2: i32 outcome
  3: i32 target
  // Target to copy the shared beginning from; 0: none.
  4: i32 copyFrom
  5: i64 expectedWaitMicros
  6: i32 reason
  7: i64 retryAfterMicros
  // What the run adds to its target's load.
  8: i32 prefillTokens
  9: i32 memoryTokens
  // How its account stood against its share.
  10: i32 standing
}

// Load that a target reported of itself with a response.
struct ReportedTargetLoad {
  1: i32 running
  2: i32 waiting
  3: i32 slots
  // How long work takes there at this moment, relative to normal; 100: as usual.
  4: optional i32 slownessPercent
}

// What has become of a request that a lead has placed or still holds.
struct RunNote {
  1: i64 request
  // 0: its first event came; otherwise 1 and the number of the way it ended.
  2: i32 event
  // How long its target wants nothing from then on.
  3: i64 restMicros
  4: optional ReportedTargetLoad load
  // The attempt failed in a way that a crash or restart of the target causes.
  5: optional bool mayHaveRestarted
}

// A run as its router tells a lead that may not know it.
struct RunRow {
  1: i64 request
  2: i32 target
  3: i32 prefillTokens
  4: i32 memoryTokens
  5: bool begun
}

// Between the routers of a zone and those of them that place for the others.
struct Placement {
  1: list<PlaceAsk> asks
  2: list<PlaceAnswer> answers
  3: list<RunNote> notes
  // Whether runs holds all that the sender has at the receiver.
  4: bool whole
  5: list<RunRow> runs
}

// What a read of a shared list at its source gave: the records from one offset
// up to another, as the source encoded them.
struct ListNews {
  1: i32 sharedList
  2: i64 fromOffset
  3: i64 toOffset
  4: bool reachable
  5: binary batch
  // The epoch of the store in which the offsets count, where it is known.
  6: optional i64 storeEpoch
}

// Rows of the messages as columns, which take no header for each field. Ids
// stand in four bytes each, the lowest first.
struct DemandColumns {
  1: binary accounts
  2: list<i32> waiting
  3: list<i64> charged
}

struct HeldColumns {
  1: binary targets
  2: list<i32> held
  3: list<i32> idle
}

struct GrantColumns {
  1: binary targets
  2: list<i32> counts
  3: binary accounts
}

// Tags as what they lie above the message's floor or virtual time.
struct TagColumns {
  1: binary accounts
  2: list<i64> tags
}

struct ExchangeColumns {
  1: binary accounts
  2: list<i64> charged
  3: list<i64> tags
}

struct TargetUseColumns {
  1: binary targets
  2: list<i32> prefillTokens
  3: list<i32> running
  4: list<i32> memoryTokens
}

struct AccountUseColumns {
  1: binary accounts
  2: list<i64> askedTokens
  3: list<i64> givenTokens
}

// Parts stand in eight bytes each, the lowest first.
struct PartReadColumns {
  1: binary targets
  2: binary parts
}

// Stands for the lists of the same names, which are empty where it is set.
struct RowColumns {
  1: optional DemandColumns demand
  2: optional HeldColumns held
  3: optional GrantColumns grants
  4: optional TagColumns tags
  5: optional ExchangeColumns exchange
  6: optional TargetUseColumns targets
  7: optional AccountUseColumns accounts
  8: optional PartReadColumns reads
}

struct Envelope {
  1: i32 sender
  2: i64 incarnation
  3: optional Heartbeat heartbeat
  4: optional DemandReport demand
  5: optional GrantBatch grants
  6: optional ZoneExchange exchange
  7: optional ConfigOffer configOffer
  8: optional ConfigRequest configRequest
  9: optional LoadReport load
  10: optional ListNews listNews
  11: optional RowColumns columns
  12: optional Placement placement
}
