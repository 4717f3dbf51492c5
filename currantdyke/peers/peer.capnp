@0xb7c1f0a35d2e9a41;

# Messages between daemons. Every field that a later version adds goes last.

enum Kind {
  ping @0;
  ack @1;
  pingRequest @2;
  gossip @3;
  sync @4;
  pull @5;
  update @6;
  claim @7;
  demand @8;
  allowance @9;
}

enum MemberStatus {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct Member {
  name @0 :Text;
  counter @1 :UInt64;
  status @2 :MemberStatus;
  incarnation @3 :Text;
  address @4 :Text;
  availabilityZone @5 :Text;
  region @6 :Text;
  url @7 :Text;
}

struct Fact {
  key @0 :Text;
  value @1 :Text;
  wall @2 :UInt64;
  count @3 :UInt32;
  origin @4 :Text;
  remainingMilliseconds @5 :UInt32;
}

struct Rate {
  workspace @0 :Text;
  perSecond @1 :Float32;
}

struct Message {
  kind @0 :Kind;
  sender @1 :Text;
  incarnation @2 :Text;
  number @3 :UInt64;
  sequence @4 :UInt64;
  target @5 :Text;
  version @6 :UInt64;
  members @7 :List(Member);
  facts @8 :List(Fact);
  content @9 :Data;
  rates @10 :List(Rate);
}
