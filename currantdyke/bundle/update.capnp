@0xb3f1c5d2a7e94d61;

struct Update {
  union {
    records @0 :List(Data);
    chunk @1 :Chunk;
  }
}

struct Chunk {
  version @0 :UInt64;
  index @1 :UInt32;
  count @2 :UInt32;
  digest @3 :Data;
  data @4 :Data;
}

struct Snapshot {
  record @0 :Data;
  parts @1 :List(Data);
}
