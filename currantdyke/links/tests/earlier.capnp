@0xc1f0a6e24d5b9838;

# The part of the schema of the previous build that concerns crashes.

struct Frame {
  number @0 :UInt64;
  union {
    ping @1 :Void;
    pong @2 :Void;
    changesAfter @3 :UInt64;
    changes @4 :AnyPointer;
    place @5 :AnyPointer;
    placed @6 :AnyPointer;
    refused @7 :AnyPointer;
    progress @8 :AnyPointer;
    crashed @9 :Crashed;
    unknown @10 :Void;
  }
  acceptsCompressed @11 :Bool;
}

struct Crashed {
  fingerprint @0 :Text;
  endpoint @1 :Text;
}
