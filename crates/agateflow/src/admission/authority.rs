//! Identifies the keyed call of a start and checks whether this process may run it.

use super::call_store;
use super::idempotency;
use super::reason::Reason;
use super::record::{Authority, Call};
use super::table::{Table, refuse};
use super::ticket;
use crate::admission::{Key, Output, Start};
use crate::id;
use crate::unit;

impl Table {
    /// Returns the call of a start that may run, or else the outputs that refuse or replay it.
    pub(super) fn find_call(
        &self,
        start: &Start,
        now: unit::Millis,
    ) -> Result<Option<Call>, Vec<Output>> {
        let call = match self.identify_call(start) {
            Ok(None) => return Ok(None),
            Ok(Some(call)) => call,
            Err(reason) => return Err(refuse(start.id, reason)),
        };
        let lookup = self.calls.look_up(&call.call_id, &start.digest, &start.team);
        // A record of a key is conclusive even where its absence would prove nothing.
        let not_recorded = matches!(lookup, call_store::Lookup::Fresh | call_store::Lookup::Full);
        if not_recorded || matches!(call.authority, Authority::Ticket(_)) {
            self.check_authority(&call, &start.team, now)
                .map_err(|reason| refuse(start.id, reason))?;
        }
        let reason = match lookup {
            call_store::Lookup::Fresh => return Ok(Some(call)),
            call_store::Lookup::Ran(Some(answer)) => {
                return Err(vec![Output::Replay { id: start.id, offset: 0, answer }]);
            }
            call_store::Lookup::Ran(None) => Reason::Ran,
            call_store::Lookup::InFlight => Reason::InFlight,
            call_store::Lookup::Unknown => Reason::Unknown,
            call_store::Lookup::Conflict => Reason::Conflict,
            call_store::Lookup::Full => Reason::Capacity,
        };
        Err(refuse(start.id, reason))
    }

    fn identify_call(&self, start: &Start) -> Result<Option<Call>, Reason> {
        match &start.key {
            Key::None => Ok(None),
            Key::Idempotency(key) => {
                let call_id = idempotency::call_id(&start.team, &start.service, key);
                let authority = Authority::Home(start.service.clone(), start.revision);
                Ok(Some(Call { call_id, authority }))
            }
            Key::Ticket(bytes) => {
                let ticket = ticket::Ticket::decode(bytes, &self.owner.secret)?;
                Ok(Some(Call { call_id: ticket.call_id(), authority: Authority::Ticket(ticket) }))
            }
        }
    }

    /// Checks that this process currently may run a call.
    pub(super) fn check_authority(
        &self,
        call: &Call,
        team: &id::Team,
        now: unit::Millis,
    ) -> Result<(), Reason> {
        match &call.authority {
            Authority::Ticket(ticket) => ticket.check(self.owner.incarnation, team, now),
            Authority::Home(service, revision) => {
                self.owner.home.check(service, &call.call_id, *revision, now)
            }
        }
    }
}
