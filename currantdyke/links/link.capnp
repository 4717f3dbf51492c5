@0xc1f0a6e24d5b9837;

# Frames between daemons. Times are milliseconds that are left, never moments: the
# clocks of two VMs may differ.

struct Frame {
  number @0 :UInt64;
  union {
    ping @1 :Void;
    pong @2 :Void;
    changesAfter @3 :UInt64;
    changes @4 :Changes;
    place @5 :Place;
    placed @6 :Placed;
    refused @7 :Refused;
    progress @8 :Progress;
    crashed @9 :Crashed;
    unknown @10 :Void;
    # A daemon sends these only to daemons whose entries name protocol 1 or later.
    limitReport @12 :LimitReport;
    tokenRequest @13 :TokenRequest;
    tokenGrant @14 :TokenGrant;
    streamVersions @15 :StreamVersions;
    versionRequest @16 :VersionRequest;
    versionAnswer @17 :VersionAnswer;
    # A daemon sends this only to daemons that have offered the value.
    partRequest @20 :PartRequest;
    part @21 :Data;
    # A daemon sends this only to daemons whose entries name protocol 2 or later.
    endpointLeaving @22 :EndpointLeaving;
    # A daemon sends this only to daemons whose entries name protocol 3 or later.
    endpointPaused @23 :EndpointPaused;
    serviceFragile @26 :Text;
    slotRequest @27 :SlotRequest;
    slotGrant @28 :SlotGrant;
    slotRelease @29 :SlotRelease;
    # At the beginning of a tunnel, never on a link.
    tunnelRequest @24 :TunnelRequest;
    tunnelAnswer @25 :UInt8;
  }
  # Of a request: the response may contain compressed values.
  acceptsCompressed @11 :Bool;
  # Of a request: the response may contain offers of large values, as differences from
  # those with these digests.
  acceptsOffers @18 :Bool;
  bases @19 :List(Data);
  # Of a request for changes: the era of the revision; 0 if it is not known.
  changesAfterEra @30 :UInt32;
  # Of a request for changes: the response is to contain the configuration if it was
  # written after this. Daemons of an earlier build do not read it.
  configurationAfter @31 :Written;
}

struct Written {
  era @0 :UInt32;
  revision @1 :UInt64;
}

struct Changes {
  revision @0 :UInt64;
  whole @1 :Bool;
  settling @2 :Bool;
  items @3 :List(Item);
  ageMilliseconds @4 :UInt32;
  # What is left of the grace period if settling is set.
  settlingMilliseconds @5 :UInt32;
  offers @6 :List(Offer);
  # 0 from a daemon that knows none.
  era @7 :UInt32;
  # Whether some of the changes are of earlier eras.
  mixedEras @8 :Bool;
  # The newest configuration that the sender knows of, whether or not it can be used; only
  # if newestTold is set.
  newestEra @9 :UInt32;
  newestRevision @10 :UInt64;
  newestVersion @11 :UInt64;
  newestTold @12 :Bool;
  # Whether the sender still waits to be told by others which configurations exist.
  newestAwaited @13 :Bool;
}

struct Offer {
  key @0 :Text;
  revision @1 :UInt64;
  digest @2 :Data;
  size @3 :UInt32;
  base @4 :Data;
  encodedDigest @5 :Data;
  encodedSize @6 :UInt32;
  # Empty if the value must be requested in parts.
  data @7 :Data;
  # By how much the era of this change is lower than that of the message, if mixedEras
  # is set.
  erasBefore @8 :UInt32;
}

struct EndpointLeaving {
  instance @0 :Text;
  born @1 :Int64;
}

struct EndpointPaused {
  instance @0 :Text;
  born @1 :Int64;
  milliseconds @2 :UInt32;
}

struct SlotRequest {
  instance @0 :Text;
  service @1 :Text;
  born @2 :Int64;
  milliseconds @3 :UInt32;
}

struct SlotGrant {
  lease @0 :UInt64;
  waitMilliseconds @1 :UInt32;
}

struct SlotRelease {
  instance @0 :Text;
  lease @1 :UInt64;
  rejected @2 :Bool;
}

struct TunnelRequest {
  instance @0 :Text;
  born @1 :Int64;
}

struct PartRequest {
  digest @0 :Data;
  base @1 :Data;
  encodedDigest @2 :Data;
  start @3 :UInt32;
}

struct Item {
  key @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  value @3 :Data;
  # Size of the value if it is compressed with zlib, else 0.
  uncompressedBytes @4 :UInt32;
  # By how much the era of this change is lower than that of the message, if mixedEras
  # is set.
  erasBefore @5 :UInt32;
}

struct Place {
  attemptId @0 :Text;
  service @1 :Text;
  steps @2 :List(Step);
  stageKey @3 :Text;
  targetMilliseconds @4 :UInt32;
  deadlineMilliseconds @5 :UInt32;
  rank @6 :UInt16;
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  parts @9 :List(Part);
  availabilityZone @10 :Text;
  excluded @11 :List(Text);
  again @12 :Bool;
  givesWay @13 :Bool;
  # Of an engine that began the stream.
  withVersion @14 :Bool;
  version @15 :Text;
}

struct Step {
  service @0 :Text;
  after @1 :List(UInt16);
  resultBytes @2 :UInt64;
  pieces @3 :UInt32;
}

struct Part {
  partId @0 :Data;
  tokens @1 :UInt32;
}

struct Placed {
  instance @0 :Text;
  handles @1 :List(Text);
  withStages @2 :Bool;
  granted @3 :Bool;
  # Requests a second, if granted.
  rateLimit @4 :Float64;
  # The sender holds a slot of the endpoint until the run there ends.
  hasSlot @5 :Bool;
}

struct LimitReport {
  instance @0 :Text;
  born @1 :Int64;
  limited @2 :Bool;
  rate @3 :Float64;
  sentAgeMilliseconds @4 :UInt32;
  ageMilliseconds @5 :UInt32;
}

struct TokenRequest {
  instance @0 :Text;
  service @1 :Text;
  born @2 :Int64;
  rate @3 :Float64;
  ageMilliseconds @4 :UInt32;
  sheddable @5 :Bool;
  forwarded @6 :Bool;
  # 0 if a response has named the rate.
  coldMilliseconds @7 :UInt32;
}

struct StreamVersions {
  versions @0 :List(Text);
  digests @1 :List(UInt64);
  # Of the version of each digest.
  numbers @2 :List(UInt16);
  # Empty unless the receiver is a backup of the sender.
  service @3 :Text;
}

struct VersionRequest {
  digest @0 :UInt64;
  service @1 :Text;
}

struct VersionAnswer {
  known @0 :Bool;
  withVersion @1 :Bool;
  version @2 :Text;
  several @3 :Bool;
}

struct TokenGrant {
  waitMilliseconds @0 :UInt32;
  limited @1 :Bool;
  ageMilliseconds @2 :UInt32;
}

struct Refused {
  code @0 :Text;
  detail @1 :Text;
  retryAfterMilliseconds @2 :UInt32;
}

# Daemons of an earlier build read only the first two fields. They close a link on a
# member of the union in Frame that they do not know, so that what is new about crashes
# is told apart by `kind`; the first two fields are empty then.
struct Crashed {
  fingerprint @0 :Text;
  endpoint @1 :Text;
  kind @2 :Kind;
  keys @3 :List(Text);
  born @4 :Int64;
  # Of the crash, or of the first event of the answer that clears the keys.
  ageMilliseconds @5 :UInt32;
  sentAgeMilliseconds @6 :UInt32;
  # What is left of the condemnation of a group.
  leftMilliseconds @7 :UInt32;
  crashes @8 :UInt32;
  # Of the first data of the lost run; 0 if there was none, or if it is not known.
  begunAgeMilliseconds @9 :UInt32;
  # Whether the answer that clears the keys was complete.
  complete @10 :Bool;

  enum Kind {
    lostRun @0;
    cleared @1;
    condemned @2;
  }
}

struct Progress {
  attemptId @0 :Text;
  kind @1 :UInt8;
  instance @2 :Text;
  keepsResults @3 :Bool;
}
