@0xd0a5b9a1c3e67f42;

# Messages among the fleet's processes: datagrams, and the fetch of a document over TCP.

struct Message {
  version @0 :UInt16;
  role @1 :UInt8;
  tag @2 :UInt32;
  sequence @3 :UInt64;
  revision @4 :UInt64;
  started @5 :UInt64;
  incarnationHigh @6 :UInt64;
  incarnationLow @7 :UInt64;
  name @8 :Text;
  dataCentre @9 :Text;
  state @10 :UInt8;
  # Without name, dataCentre, started and incarnationHigh.
  brief @21 :Bool;

  union {
    notice @11 :Void;
    beat @12 :Beat;
    ask @13 :Ask;
    directory @14 :List(Contact);
    summary @15 :Summary;
    items @16 :List(Item);
    want @17 :Void;
    manifest @18 :Manifest;
    wantParts @19 :List(UInt32);
    part @20 :Data;
  }
}

struct Beat {
  watching @0 :Bool;
  waiting @1 :UInt16;
  running @2 :UInt16;
  cacheFree @3 :UInt16;
  queuedMs @4 :UInt32;
  stepUs @5 :UInt32;
  rate @6 :UInt32;
  grantMs @7 :UInt64;
  failing @8 :Bool;
}

struct Ask {
  upstreams @0 :Bool;
}

struct Contact {
  role @0 :UInt8;
  port @1 :UInt16;
  ip @2 :Data;
  name @3 :Text;
}

struct Summary {
  originHigh @0 :UInt64;
  originLow @1 :UInt64;
  version @2 :UInt64;
  dataCentre @3 :Text;
  first @4 :Text;
  last @5 :Text;
  contacts @6 :List(Contact);
  groups @7 :List(Group);
}

struct Group {
  name @0 :Text;
  serving @1 :UInt16;
  leaving @2 :UInt16;
  running @3 :UInt32;
  waiting @4 :UInt32;
  queuedMs @5 :UInt32;
  rate @6 :UInt32;
}

struct Item {
  key @0 :Data;
  version @1 :UInt64;
  leftMs @2 :UInt32;
  value @3 :Data;
}

struct Manifest {
  digest @0 :Data;
  # For each part 8 bytes of digest and 4 bytes of length, the highest first.
  parts @1 :Data;
}
