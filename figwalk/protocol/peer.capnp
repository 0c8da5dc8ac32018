@0xb7d1f0c2a94e6538;

# Messages between figwalk processes. `figwalk/protocol/messages.py` defines an attrs class for each
# struct; fields have the same names there in snake case.

# A `headers` field contains HTTP header lines, each `name: value\r\n`. One such field takes a fifth
# of the processor time of a list of structs.

struct Hello {
  kind @0 :Text;
  process @1 :Text;
  incarnation @2 :UInt64;
  zone @3 :Text;
  region @4 :Text;
  backend @5 :Text;
  service @6 :Text;
  clock @7 :UInt64;
  keepsOrigins @8 :Bool;
  pacesStreams @9 :Bool;
}

struct Call {
  callId @0 :UInt64;
  requestId @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :Data;
  body @5 :Data;
  deadlineMs @6 :UInt32;
  priority @7 :Text;
  organisation @8 :Text;
  promptTokens @9 :UInt32;
  maxTokens @10 :UInt32;
  stream @11 :Bool;
  claimId @12 :Text;
  incarnation @13 :UInt64;
  clock @14 :UInt64;
  firstTokenMs @15 :UInt32;
}

struct Answer {
  callId @0 :UInt64;
  status @1 :UInt16;
  headers @2 :Data;
  clock @3 :UInt64;
}

struct LoadReport {
  sequence @0 :UInt64;
  backend @1 :Text;
  role @2 :Text;
  state @3 :Text;
  running @4 :UInt32;
  queued @5 :UInt32;
  queuedPromptTokens @6 :UInt64;
  queuedOutputTokens @7 :UInt64;
  maxRunning @8 :UInt32;
  prefillTokensPerS @9 :Float32;
  decodeTokensPerS @10 :Float32;
  promptTokensTotal @11 :UInt64;
  generatedTokensTotal @12 :UInt64;
  orderOffset @13 :Int64;
  controlOffset @14 :Int64;
  revision @15 :UInt64;
  queueWaitMs @16 :UInt32;
  engineReportAgeMs @17 :UInt32;
  cacheStored @18 :List(UInt64);
  cacheEvicted @19 :List(UInt64);
  model @20 :Text;
  adapter @21 :Text;
  version @22 :Text;
}

struct End {
  callId @0 :UInt64;
  byteCount @1 :UInt64;
  complete @2 :Bool;
  load @3 :LoadReport;
  clock @4 :UInt64;
}

struct Refusal {
  callId @0 :UInt64;
  code @1 :Text;
  outcome @2 :Text;
  retryAfterMs @3 :UInt32;
  detail @4 :Text;
  load @5 :LoadReport;
  clock @6 :UInt64;
}

struct Cancel {
  callId @0 :UInt64;
}

struct Leaving {
  backend @0 :Text;
  graceMs @1 :UInt32;
  clock @2 :UInt64;
}

struct Desired {
  controlOffset @0 :Int64;
  orderOffset @1 :Int64;
  term @2 :Int64;
  backend @3 :Text;
  role @4 :Text;
  model @5 :Text;
  adapter @6 :Text;
  version @7 :Text;
}

struct Confirm {
  nonce @0 :UInt64;
  backend @1 :Text;
}

struct Confirmed {
  nonce @0 :UInt64;
  desired @1 :Desired;
}

struct ConfigUpdate {
  revision @0 :UInt64;
  full @1 :Bool;
  entries @2 :Data;
}

struct ConfigQuery {
  revision @0 :UInt64;
}

struct KeyLookup {
  claimId @0 :Text;
  incarnation @1 :UInt64;
}

struct KeyStatus {
  claimId @0 :Text;
  state @1 :Text;
  status @2 :UInt16;
  headers @3 :Data;
  body @4 :Data;
}

struct EventsQuery {
  requestId @0 :Text;
}

struct EventsReply {
  events @0 :Data;
}

struct PromptOffer {
  callId @0 :UInt64;
  requestId @1 :Text;
  partIds @2 :Text;
  partTokens @3 :List(UInt32);
  targetMs @4 :Int32;
  leftMs @5 :Int32;
  afterMs @6 :UInt32;
  fetchedTokens @7 :UInt32;
  gapMs @8 :UInt32;
  organisation @9 :UInt32;
  priority @10 :UInt8;
  tried @11 :UInt8;
}

struct PromptDecision {
  callId @0 :UInt64;
  granted @1 :Bool;
  uncachedTokens @2 :UInt32;
  waitMs @3 :UInt32;
  finishMs @4 :UInt32;
  backlogTokens @5 :UInt32;
  retryMs @6 :UInt32;
}

struct PromptEnded {
  callId @0 :UInt64;
  read @1 :Bool;
  tookMs @2 :UInt32;
}

struct EngineDigest {
  up @0 :Bool;
  backlogTokens @1 :UInt32;
  tokensPerS @2 :Float64;
  reportAgeMs @3 :UInt32;
  decoding @4 :UInt32;
  kept @5 :List(UInt32);
  yielded @6 :List(UInt32);
  fixedMs @7 :UInt32;
  measured @8 :Bool;
  keptComplete @9 :Bool;
  reading @10 :List(UInt32);
  gateways @11 :UInt16;
  streams @12 :UInt32;
  eventMs @13 :Float32;
  relayGateways @14 :UInt16;
  bornMs @15 :UInt64;
  neededEventMs @16 :Float32;
}

struct RelayRead {
  readId @0 :UInt64;
  topic @1 :Text;
  offset @2 :UInt64;
  waitMs @3 :UInt32;
  holdMs @4 :UInt32;
  periodMs @5 :UInt32;
  era @6 :Int64;
}

struct RelayPage {
  readId @0 :UInt64;
  status @1 :Text;
  nextOffset @2 :UInt64;
  era @3 :Int64;
  ageMs @4 :UInt32;
  offsets @5 :List(UInt64);
  keys @6 :List(Text);
  values @7 :List(Data);
  removed @8 :List(Bool);
}

struct StreamBegun {
  attempt @0 :Data;
  service @1 :Text;
  softwareVersion @2 :Text;
  backend @3 :Text;
  bornMs @4 :UInt64;
  begunMs @5 :UInt64;
}

struct OriginQuery {
  queryId @0 :UInt64;
  attempt @1 :Data;
}

struct OriginReply {
  queryId @0 :UInt64;
  begun @1 :StreamBegun;
}

struct StreamExpected {
  requestId @0 :Text;
  events @1 :UInt32;
  leftMs @2 :UInt32;
}

struct Message {
  union {
    hello @0 :Hello;
    call @1 :Call;
    answer @2 :Answer;
    end @3 :End;
    refusal @4 :Refusal;
    cancel @5 :Cancel;
    loadReport @6 :LoadReport;
    leaving @7 :Leaving;
    desired @8 :Desired;
    confirm @9 :Confirm;
    confirmed @10 :Confirmed;
    configUpdate @11 :ConfigUpdate;
    configQuery @12 :ConfigQuery;
    keyLookup @13 :KeyLookup;
    keyStatus @14 :KeyStatus;
    eventsQuery @15 :EventsQuery;
    eventsReply @16 :EventsReply;
    promptOffer @17 :PromptOffer;
    promptDecision @18 :PromptDecision;
    promptEnded @19 :PromptEnded;
    engineDigest @20 :EngineDigest;
    relayRead @21 :RelayRead;
    relayPage @22 :RelayPage;
    streamBegun @23 :StreamBegun;
    originQuery @24 :OriginQuery;
    originReply @25 :OriginReply;
    streamExpected @26 :StreamExpected;
  }
}
