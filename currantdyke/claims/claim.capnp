@0xd4b7a1c95e3f6082;

# A claim on its way to its slice's owner. Later fields go last.

enum State {
  claimed @0;
  released @1;
  done @2;
  failed @3;
  unknown @4;
}

struct Record {
  requestId @0 :Text;
  body @1 :Data;
  claimed @2 :Float64;
  until @3 :Float64;
  state @4 :State;
  result @5 :Data;
}

struct Question {
  isClaim @0 :Bool;
  digest @1 :Data;
  record @2 :Record;
}

enum AnswerKind {
  nothing @0;
  granted @1;
  recorded @2;
  taken @3;
  unavailable @4;
  unsettled @5;
}

struct Answer {
  kind @0 :AnswerKind;
  detail @1 :Text;
  record @2 :Record;
}
