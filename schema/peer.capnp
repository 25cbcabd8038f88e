@0xd2c1f5a4b3e69788;
# Calls between the daemons of one system.

struct TargetLoad {
  target @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  tokensPerSecond @3 :Float64;
  ageMs @4 :UInt64;
  # Age of the figures when this heartbeat was sent.
  leaving @5 :Bool;
}

struct OrganisationDemand {
  organisation @0 :Text;
  inFlight @1 :UInt32;
  waiting @2 :UInt32;
  heldGrant @3 :UInt32;
  # Concurrent requests that the host may still use under its last grant.
  grantNumber @4 :UInt64;
  heldRate @5 :UInt32;
  # Requests per second that the host may still start under its last grant.
  wantedRate @6 :UInt32;
  # Requests per second asked of the host over the last seconds.
  grantLease @7 :UInt64;
  # Offset of the lease under which the last grant was given.
}

struct ZoneDigest {
  # What a host knows of the hosts in its own availability zone; bounded in size.
  zone @0 :Text;
  liveHosts @1 :UInt32;
  lowestAppliedOffset @2 :UInt64;
  # Lowest offset after the last applied declaration record over live hosts.
  slowestHost @3 :Text;
  unreachable @4 :List(Text);
  # Some of the hosts that cannot be reached, by name.
  unreachableCount @5 :UInt32;
  # All of them, counted.
}

struct Heartbeat {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  appliedOffset @4 :UInt64;
  # Offset after the last applied declaration record.
  draining @5 :Bool;
  loads @6 :List(TargetLoad);
  demands @7 :List(OrganisationDemand);
  peerAddress @8 :Text;
  digest @9 :ZoneDigest;
  # Present only between availability zones.
  demandsFor @10 :UInt64;
  # Offset of the lease to whose holder the demands are reported; 0 if none.
}

struct Grant {
  organisation @0 :Text;
  concurrentRequests @1 :UInt32;
  requestsPerMinute @2 :UInt32;
  number @3 :UInt64;
  # Grows with each grant of one holder.
  lapsesAfterMs @4 :UInt64;
  # Time after which the grant ends unless renewed, counted by the host from
  # when it sent the heartbeat; 0 if it stays.
}

struct HeartbeatReply {
  host @0 :Text;
  incarnation @1 :UInt64;
  appliedOffset @2 :UInt64;
  draining @3 :Bool;
  grants @4 :List(Grant);
  # Present only if the receiver holds the lease on the zone's shares.
  leaseOffset @5 :UInt64;
  leasedGrants @6 :Bool;
  zone @7 :Text;
  sequence @8 :UInt64;
  loads @9 :List(TargetLoad);
  peerAddress @10 :Text;
  digest @11 :ZoneDigest;
}

struct RelayedRecord {
  offset @0 :UInt64;
  body @1 :Text;
}

struct RecordRange {
  firstOffset @0 :UInt64;
  # Oldest offset that the sender can relay.
  endOffset @1 :UInt64;
  records @2 :List(RelayedRecord);
  checkpoint @3 :Text;
  # JSON text of a checkpoint; empty if the records suffice.
}

struct PeerCall {
  requestId @0 :Text;
  service @1 :Text;
  operation @2 :Text;
  idempotencyKey @3 :Text;
  organisation @4 :Text;
}

struct PeerCallReply {
  known @0 :Bool;
  verdict @1 :Text;
  status @2 :UInt16;
  body @3 :Data;
}

struct TargetUses {
  # Requests on targets, one place of each list a target.
  keys @0 :List(UInt64);
  # Hash of the target's id, alike on all hosts.
  requests @1 :List(UInt32);
  reserved @2 :List(Float32);
  # Tokens times layers that the requests are expected to need.
  unread @3 :List(Float32);
  # Tokens times layers that the target has to read before their first event.
}

enum UseScope {
  host @0;
  # Of the host that speaks.
  group @1;
  # Of the host that speaks and the hosts that report to it.
  neighbours @2;
  # Of all hosts of the zone but the one that is spoken to.
  zone @3;
  # Of all hosts of the zone.
}

struct KnownHost {
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  silentMs @4 :UInt64;
  # Time since the host was last heard, by whomever, when this was sent.
  strength @5 :UInt32;
}

struct ZoneCount {
  zone @0 :Text;
  hosts @1 :UInt32;
}

struct HostView {
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  configurationVersion @5 :UInt64;
  # 0 while none is known.
  strength @6 :UInt32;
  scope @7 :UseScope;
  # Whose requests the uses are.
  uses @8 :TargetUses;
  hosts @9 :List(KnownHost);
  # Known hosts that changed after "listedFrom", up to "listedTo".
  listedFrom @10 :UInt64;
  listedTo @11 :UInt64;
  seenIncarnation @12 :UInt64;
  # Of the host that is spoken to; its list is known up to "seenTo".
  seenTo @13 :UInt64;
  counts @14 :List(ZoneCount);
  seenScope @15 :UseScope;
  # Scope of the view whose list was taken in last.
  poison @16 :PoisonListing;
  logSinceMs @17 :UInt32;
  # Time since when the host has had the log of targets without a break.
  logReadMs @18 :UInt32;
  # Time since it last had it. Both are 0 if it never had.
  limits @19 :LimitListing;
  load @20 :LoadListing;
}

struct LoadListing {
  # One field of a view in place of two: each takes eight bytes also where it is empty.
  demand @0 :DemandListing;
  # Demand of callers, of the hosts that "scope" names.
  ended @1 :EndedListing;
}

struct DemandListing {
  # Demand of the callers of some hosts.
  services @0 :List(UInt64);
  # One place of this list and the next four a pair of a service and a priority. Hash of the
  # service's name, alike on all hosts.
  priorities @1 :List(UInt8);
  arrivals @2 :List(Float32);
  # Requests that arrive in a second, refused ones included.
  refusals @3 :List(Float32);
  # Requests that are refused in a second for want of capacity.
  waiting @4 :List(UInt16);
  organisations @5 :List(UInt64);
  # One place of this list and the next two an organisation. Hash of its name.
  places @6 :List(UInt8);
  # Place of the organisation's service and priority in the lists above.
  organisationArrivals @7 :List(Float32);
  ageMs @8 :UInt32;
  # Age of the oldest count.
}

struct EndedListing {
  # Targets that some host found ended.
  keys @0 :List(UInt64);
  agesMs @1 :List(UInt16);
}

struct LimitListing {
  # Changes of the limits that targets name.
  from @0 :UInt64;
  to @1 :UInt64;
  # Changes after "from" and up to "to" are listed.
  seenTo @2 :UInt64;
  # The listings of the host that is spoken to are known up to here.
  words @3 :List(LimitWord);
}

struct LimitWord {
  target @0 :UInt64;
  # Hash of the target's id, alike on all hosts.
  perSecond @1 :Float64;
  # Requests; below 0 if the target no longer names a limit.
  sentAgeMs @2 :UInt32;
  # Time since the request was sent whose answer said so.
  heardAgeMs @3 :UInt32;
  # Time since the answer came. The largest number stands for all longer times.
}

struct PermitQuestion {
  host @0 :Text;
  zone @1 :Text;
  # Of the target.
  limit @2 :LimitWord;
  wanted @3 :UInt32;
  # Permits; 0 if the host only tells what it sent.
  patienceMs @4 :UInt32;
  # How long its requests can wait.
  unpermitted @5 :List(UInt16);
  # Requests that it sent without permits, by half seconds of age, newest first.
  relayed @6 :Bool;
  # Whether another host than the asking one passes it on.
}

struct PermitAnswer {
  union {
    granted :group {
      permits @0 :UInt32;
      delayUs @1 :UInt32;
      # Time until the first permit may be used.
      spacingUs @2 :UInt32;
      # Time from each to the next one.
    }
    withheldMs @3 :UInt32;
    # Time after which the host may ask again.
    unlimited @4 :Void;
  }
}

struct PoisonListing {
  # What targets did to requests that are suspected of crashing them.
  from @0 :UInt64;
  to @1 :UInt64;
  # Changes after "from" and up to "to" are listed.
  seenTo @2 :UInt64;
  # The listings of the host that is spoken to are known up to here.
  requests @3 :List(UInt64);
  # Keys of requests, one place of each list a note.
  targets @4 :List(UInt64);
  # The target that ended; 0 if the request was survived.
  agesMs @5 :List(UInt32);
  # Time since then; the largest number stands for all longer times.
}

struct TargetChange {
  id @0 :Text;
  value @1 :Data;
  # Empty for a target that is gone.
  offset @2 :UInt64;
  # Of the record in the platform's log.
  droppedAt @3 :UInt64;
  # Where the log dropped the entry, which may have expired; 0 if it did not.
  era @4 :UInt64;
  # Era of the log in which "offset" is counted; the oldest if the sender does not know it.
  droppedEra @5 :UInt64;
  # Era of "droppedAt".
  firstReturn @6 :UInt64;
  # First heartbeat by which a removed target can return; the largest number if it left.
  renumbered @7 :Bool;
  # The record is current although it looks outdated.
}

struct ZoneUses {
  zone @0 :Text;
  uses @1 :TargetUses;
  demand @2 :DemandListing;
  # Demand of the callers of the zone's hosts.
  demandKnownMs @3 :UInt32;
  # Time since the first host of the recipient's zone received the demand.
}

struct FollowQuestion {
  configurationVersion @0 :UInt64;
  # Of the configuration that the asking host has; 0 if none.
  incarnation @1 :UInt64;
  # Of the host that gave "next"; 0 at the first question.
  from @2 :UInt64;
  holdMs @3 :UInt32;
  # How long the answer may wait for news.
  wantsRemote @4 :Bool;
  # Whether the answer is to hold the requests of other zones' hosts.
}

struct FollowAnswer {
  incarnation @0 :UInt64;
  fresh @1 :Bool;
  # The answering host reads the platform's log without trouble.
  configuration @2 :Data;
  # Empty unless newer than the version in the question.
  whole @3 :Bool;
  # The targets are all that are known and not just changes.
  targets @4 :List(TargetChange);
  next @5 :UInt64;
  remote @6 :List(ZoneUses);
  readTo @7 :UInt64;
  # Offset up to which the answering host covers the log of targets.
  ageMs @8 :UInt64;
  # Time since somebody read the log for the answering host.
  logFirstMs @9 :UInt32;
  # Time since the answering host first had the log of targets.
  logReadMs @10 :UInt32;
  # Time since it last had it. Both are 0 if it never had.
  readEra @11 :UInt64;
  # Era of "readTo".
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (reply :HeartbeatReply);
  records @1 (stream :Text, from :UInt64, limit :UInt32) -> (range :RecordRange);
  claimOutcome @2 (call :PeerCall) -> (reply :PeerCallReply);
  exchange @3 (view :HostView) -> (view :HostView);
  follow @4 (question :FollowQuestion) -> (answer :FollowAnswer);
  permit @5 (question :PermitQuestion) -> (answer :PermitAnswer);
}
