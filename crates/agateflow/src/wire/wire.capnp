@0xb7d1c7e5f0a34c19;

# Frames on the multiplexed TCP connection from an entry to an upstream process.

struct Id {
  entryHigh @0 :UInt64;
  entryLow @1 :UInt64;
  request @2 :UInt64;
  number @3 :UInt32;
}

struct Incarnation {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct Frame {
  version @0 :UInt16;
  union {
    hello @1 :Hello;
    start @2 :Start;
    cancel @3 :Id;
    seal @4 :Seal;
    resume @5 :Resume;
    refused @6 :Refused;
    head @7 :Head;
    data @8 :Part;
    end @9 :End;
    failed @10 :Failed;
    sealed @11 :Sealed;
    ticket @12 :TicketCall;
    ticketReply @13 :TicketReply;
    window @14 :Resume;
  }

  # First frame in each direction; the code authenticates the sender.
  struct Hello {
    sender @0 :Incarnation;
    name @1 :Text;
    revision @2 :UInt64;
    nonce @3 :Incarnation;
    code @4 :Data;
    clockMs @5 :UInt64;
  }

  # One attempt of a request, with the whole body.
  struct Start {
    id @0 :Id;
    target @1 :Incarnation;
    team @2 :Text;
    deadlineMs @3 :UInt64;
    method @4 :Text;
    path @5 :Text;
    headers @6 :List(Header);
    body @7 :Data;
    service @8 :Text;
    stream @9 :Bool;
    repeatable @10 :Bool;
    offset @11 :UInt64;
    skip @18 :UInt64;
    key @12 :Data;
    keyKind @13 :KeyKind;
    digest @14 :Data;
    priority @15 :UInt8;
    tokens @16 :UInt64;
    revision @17 :UInt64;
    validUntilMs @19 :UInt64;
  }

  enum KeyKind {
    none @0;
    idempotencyKey @1;
    ticket @2;
  }

  # Asks that an attempt not run; names what its start named.
  struct Seal {
    id @0 :Id;
    target @1 :Incarnation;
    validUntilMs @2 :UInt64;
  }

  struct Resume {
    id @0 :Id;
    offset @1 :UInt64;
  }

  struct Refused {
    id @0 :Id;
    reason @1 :UInt16;
    retryAfterMs @2 :UInt64;
    detail @3 :Text;
  }

  struct Head {
    id @0 :Id;
    status @1 :UInt16;
    headers @2 :List(Header);
  }

  struct Part {
    id @0 :Id;
    offset @1 :UInt64;
    bytes @2 :Data;
  }

  # The answer is whole; length is its size in bytes.
  struct End {
    id @0 :Id;
    length @1 :UInt64;
  }

  # The attempt reached the engine and gave no whole answer.
  struct Failed {
    id @0 :Id;
    detail @1 :Text;
    crashed @2 :Bool;
  }

  struct Sealed {
    id @0 :Id;
    state @1 :SealState;
  }

  enum SealState {
    notRun @0;
    running @1;
    ran @2;
  }

  struct TicketCall {
    id @0 :Id;
    team @1 :Text;
    count @2 :UInt16;
    digest @3 :Data;
  }

  struct TicketReply {
    id @0 :Id;
    tickets @1 :List(Data);
    lifeMs @2 :UInt64;
  }
}
