//! The uses of the tickets that one incarnation of an entry instance issued.

use std::sync::Arc;

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use strum::Display;

use crate::answer::MAX_BODY_BYTES;
use crate::answer::MAX_TOTAL_BODY_BYTES;
use crate::answer::RecordedAnswer;
use crate::ticket::Scope;
use crate::ticket::Ticket;

/// Time after the issue of a ticket within which its first use must arrive.
pub const FIRST_USE_WINDOW: Millis = Millis::from_secs(30);

/// Time for which an outcome is kept after the end of the request.
pub const RETENTION: Millis = Millis::from_secs(120);

/// Maximum number of used tickets that are kept for one organisation. An organisation reaches this
/// bound when it uses 27 tickets a second through one instance, with requests of 30 s.
pub const MAX_USED_TICKETS_PER_ORGANISATION: usize = 4_096;

/// Maximum number of used tickets that are kept for all organisations together. At about 250 bytes
/// each they take 8 MB, an eighth of the 64 MB for control work.
pub const MAX_USED_TICKETS: usize = 32_768;

/// Maximum number of later uses of one ticket that wait for its running request at the same time.
pub const MAX_WAITERS_PER_TICKET: usize = 8;

/// The status of a ticket according to the ledger of the incarnation that issued it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// The ticket was never used and may be used now.
    Unused,
    /// The ticket was never used, and the time for its first use is over.
    Expired,
    /// The retention of a possible use is over, so whether the ticket was used is unknown.
    Forgotten,
    /// The ticket was used and its request has not ended.
    Running,
    /// The ticket was used and its request has ended.
    Ended {
        /// The outcome of the request.
        outcome: Outcome,
        /// The recorded answer. `None` if there was none or its body exceeded a size limit.
        answer: Option<Arc<RecordedAnswer>>,
    },
}

/// The bound that keeps a ticket from being used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum LedgerFull {
    /// The organisation has [`MAX_USED_TICKETS_PER_ORGANISATION`] used tickets.
    #[strum(serialize = "the organisation has too many used tickets")]
    Organisation,
    /// All organisations together have [`MAX_USED_TICKETS`] used tickets.
    #[strum(serialize = "the instance holds too many used tickets")]
    Instance,
    /// [`MAX_WAITERS_PER_TICKET`] uses of the same ticket wait, or its request is not running.
    #[strum(serialize = "too many uses of the ticket wait")]
    Waiters,
}

impl std::error::Error for LedgerFull {}

#[derive(Debug)]
enum State {
    Running {
        waiters: Vec<RequestId>,
    },
    Ended {
        at: Timestamp,
        outcome: Outcome,
        answer: Option<Arc<RecordedAnswer>>,
    },
}

#[derive(Debug)]
struct Entry {
    organisation: OrganisationId,
    state: State,
}

/// The used tickets of one incarnation of an entry instance.
#[derive(Debug)]
pub struct Ledger {
    instance: InstanceId,
    incarnation: Incarnation,
    last_number: u64,
    /// When the ticket that was issued last expires.
    last_expiry: Timestamp,
    /// The used tickets by number.
    used: IndexMap<u64, Entry>,
    /// The number of used tickets of each organisation that has any.
    used_per_organisation: IndexMap<OrganisationId, usize>,
    body_bytes: usize,
}

impl Ledger {
    /// Create the empty ledger of an incarnation.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            last_number: 0,
            last_expiry: Timestamp::ORIGIN,
            used: IndexMap::new(),
            used_per_organisation: IndexMap::new(),
            body_bytes: 0,
        }
    }

    /// Issue a ticket. The ledger stores nothing for it before its first use.
    pub fn issue(&mut self, now: Timestamp, scope: Scope) -> Ticket {
        self.last_number += 1;
        self.last_expiry = now + FIRST_USE_WINDOW;
        Ticket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            scope,
            number: self.last_number,
            expires: self.last_expiry,
        }
    }

    /// Return whether this incarnation issued the ticket.
    pub fn owns(&self, ticket: &Ticket) -> bool {
        ticket.instance == self.instance && ticket.incarnation == self.incarnation
    }

    /// Return whether the first use of an issued ticket may still arrive.
    pub fn has_unexpired_ticket(&self, now: Timestamp) -> bool {
        self.last_number > 0 && now < self.last_expiry
    }

    /// Return the number of used tickets that are kept.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Return whether no used ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Return the total size of the recorded answer bodies, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Return the status of a ticket that this incarnation issued.
    pub fn look_up(&self, now: Timestamp, ticket: &Ticket) -> TicketStatus {
        match self.used.get(&ticket.number).map(|entry| &entry.state) {
            Some(State::Running { .. }) => TicketStatus::Running,
            Some(State::Ended {
                outcome, answer, ..
            }) => TicketStatus::Ended {
                outcome: *outcome,
                answer: answer.clone(),
            },
            None if now < ticket.expires => TicketStatus::Unused,
            // A use begins after the issue and is kept for at least the retention time. Until that
            // long after the issue, a missing entry proves that there was no use.
            None if now < ticket.expires + RETENTION.saturating_sub(FIRST_USE_WINDOW) => {
                TicketStatus::Expired
            }
            None => TicketStatus::Forgotten,
        }
    }

    /// Record the first use of a ticket whose status is [`TicketStatus::Unused`].
    ///
    /// # Errors
    ///
    /// Return the bound that is reached. The ticket stays unused.
    pub fn begin_use(&mut self, ticket: &Ticket) -> Result<(), LedgerFull> {
        let organisation = &ticket.scope.organisation;
        let used = self
            .used_per_organisation
            .get(organisation)
            .copied()
            .unwrap_or_default();
        if used >= MAX_USED_TICKETS_PER_ORGANISATION {
            return Err(LedgerFull::Organisation);
        }
        if self.used.len() >= MAX_USED_TICKETS {
            return Err(LedgerFull::Instance);
        }
        self.used_per_organisation
            .insert(organisation.clone(), used + 1);
        let entry = Entry {
            organisation: organisation.clone(),
            state: State::Running {
                waiters: Vec::new(),
            },
        };
        self.used.insert(ticket.number, entry);
        Ok(())
    }

    /// Add a later use that waits for the end of the running request.
    ///
    /// # Errors
    ///
    /// Return [`LedgerFull::Waiters`] when too many uses wait or no request with the ticket is
    /// running.
    pub fn add_waiter(&mut self, number: u64, req: RequestId) -> Result<(), LedgerFull> {
        match self.used.get_mut(&number).map(|entry| &mut entry.state) {
            Some(State::Running { waiters }) if waiters.len() < MAX_WAITERS_PER_TICKET => {
                waiters.push(req);
                Ok(())
            }
            _ => Err(LedgerFull::Waiters),
        }
    }

    /// Remove a use that waits.
    pub fn remove_waiter(&mut self, number: u64, req: &RequestId) {
        if let Some(State::Running { waiters }) =
            self.used.get_mut(&number).map(|entry| &mut entry.state)
        {
            waiters.retain(|other| other != req);
        }
    }

    /// Remove a use whose request was never sent to a backend server, unless another use waits for
    /// it. Return whether it was removed; the ticket then counts as never used.
    pub fn withdraw_use(&mut self, number: u64) -> bool {
        let has_no_waiters = matches!(
            self.used.get(&number).map(|entry| &entry.state),
            Some(State::Running { waiters }) if waiters.is_empty()
        );
        if has_no_waiters {
            self.remove(number);
        }
        has_no_waiters
    }

    /// Record the end of a request and return the uses that waited for it.
    pub fn end_use(
        &mut self,
        now: Timestamp,
        number: u64,
        outcome: Outcome,
        answer: Option<Arc<RecordedAnswer>>,
    ) -> Vec<RequestId> {
        if !self.used.contains_key(&number) {
            return Vec::new();
        }
        let answer = self.limit_body(answer);
        let Some(entry) = self.used.get_mut(&number) else {
            return Vec::new();
        };
        let ended = State::Ended {
            at: now,
            outcome,
            answer,
        };
        match std::mem::replace(&mut entry.state, ended) {
            State::Running { waiters } => waiters,
            State::Ended { answer, .. } => {
                self.body_bytes -= body_len(answer.as_ref());
                Vec::new()
            }
        }
    }

    /// Replace [`Outcome::Unknown`] with what became known after the request's deadline. Any other
    /// outcome stays.
    pub fn revise_outcome(
        &mut self,
        now: Timestamp,
        number: u64,
        outcome: Outcome,
        answer: Option<Arc<RecordedAnswer>>,
    ) {
        let unknown = matches!(
            self.used.get(&number).map(|entry| &entry.state),
            Some(State::Ended {
                outcome: Outcome::Unknown,
                ..
            })
        );
        if unknown {
            self.end_use(now, number, outcome, answer);
        }
    }

    /// Remove the outcomes whose retention is over.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let expired: Vec<u64> = self
            .used
            .iter()
            .filter(|(_, entry)| {
                matches!(entry.state, State::Ended { at, .. } if now >= at + RETENTION)
            })
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.remove(number);
        }
    }

    /// Count the answer's body towards the total, or return `None` if it exceeds a size limit.
    fn limit_body(&mut self, answer: Option<Arc<RecordedAnswer>>) -> Option<Arc<RecordedAnswer>> {
        let len = body_len(answer.as_ref());
        if len > MAX_BODY_BYTES || self.body_bytes + len > MAX_TOTAL_BODY_BYTES {
            return None;
        }
        self.body_bytes += len;
        answer
    }

    fn remove(&mut self, number: u64) {
        let Some(entry) = self.used.swap_remove(&number) else {
            return;
        };
        if let State::Ended { answer, .. } = &entry.state {
            self.body_bytes -= body_len(answer.as_ref());
        }
        if let Some(used) = self.used_per_organisation.get_mut(&entry.organisation) {
            *used -= 1;
            if *used == 0 {
                self.used_per_organisation.swap_remove(&entry.organisation);
            }
        }
    }
}

fn body_len(answer: Option<&Arc<RecordedAnswer>>) -> usize {
    answer.map_or(0, |answer| answer.body.len())
}
