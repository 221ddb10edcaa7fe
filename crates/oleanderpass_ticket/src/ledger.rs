//! Keep the uses of the tickets that one incarnation issued.

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

use crate::answer::MAX_BODIES_BYTES;
use crate::answer::MAX_BODY_BYTES;
use crate::answer::RecordedAnswer;
use crate::ticket::Scope;
use crate::ticket::Ticket;

/// The time from the issue of a ticket in which it may be used first.
pub const FIRST_USE_TIME: Millis = Millis::from_secs(30);

/// The time for which an outcome is kept after the end of the request.
pub const RETENTION: Millis = Millis::from_secs(120);

/// Used tickets that are kept for one organisation. An organisation that uses 27 tickets a second
/// through one instance, with requests of 30 s, fills them.
pub const MAX_USED_PER_ORGANISATION: usize = 4_096;

/// Used tickets that are kept in all. At about 250 bytes each they take 8 MB, an eighth of the
/// 64 MB for control work.
pub const MAX_USED: usize = 32_768;

/// Further uses of one ticket that wait at the same time.
pub const MAX_WAITING: usize = 8;

/// What the ledger knows of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// The ticket was never used and may be used now.
    Unused,
    /// The ticket was never used and may not be used any more.
    Expired,
    /// Whether the ticket was used is no longer known.
    Forgotten,
    /// The request is running.
    Running,
    /// The request ended.
    Ended {
        /// The outcome.
        outcome: Outcome,
        /// The answer, if its body is held.
        answer: Option<Arc<RecordedAnswer>>,
    },
}

/// Why a ticket can't be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum LedgerFull {
    /// The organisation has too many used tickets.
    #[strum(serialize = "the organisation has too many used tickets")]
    Organisation,
    /// All organisations together have too many used tickets.
    #[strum(serialize = "the instance holds too many used tickets")]
    Instance,
    /// Too many uses of the same ticket wait.
    #[strum(serialize = "too many uses of the ticket wait")]
    Waiting,
}

impl std::error::Error for LedgerFull {}

#[derive(Debug)]
enum State {
    Running {
        waiting: Vec<RequestId>,
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
    last_expiry: Timestamp,
    used: IndexMap<u64, Entry>,
    used_by: IndexMap<OrganisationId, usize>,
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
            used_by: IndexMap::new(),
            body_bytes: 0,
        }
    }

    /// Issue a ticket. It takes no memory before its first use.
    pub fn issue(&mut self, now: Timestamp, scope: Scope) -> Ticket {
        self.last_number += 1;
        self.last_expiry = now + FIRST_USE_TIME;
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

    /// Return whether an issued ticket may still be used first.
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

    /// Return the bytes of all answers that are kept.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Return what is known of a ticket that this incarnation issued.
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
            // A use is kept for the retention time at least, so until then its absence is a proof.
            None if now < ticket.expires + RETENTION.saturating_sub(FIRST_USE_TIME) => {
                TicketStatus::Expired
            }
            None => TicketStatus::Forgotten,
        }
    }

    /// Record the first use of a ticket whose state is [`TicketStatus::Unused`].
    ///
    /// # Errors
    ///
    /// Return which bound is reached. The ticket stays unused.
    pub fn begin_use(&mut self, ticket: &Ticket) -> Result<(), LedgerFull> {
        let organisation = &ticket.scope.organisation;
        let used = self.used_by.get(organisation).copied().unwrap_or_default();
        if used >= MAX_USED_PER_ORGANISATION {
            return Err(LedgerFull::Organisation);
        }
        if self.used.len() >= MAX_USED {
            return Err(LedgerFull::Instance);
        }
        self.used_by.insert(organisation.clone(), used + 1);
        let entry = Entry {
            organisation: organisation.clone(),
            state: State::Running {
                waiting: Vec::new(),
            },
        };
        self.used.insert(ticket.number, entry);
        Ok(())
    }

    /// Let a further use wait for the end of the running request.
    ///
    /// # Errors
    ///
    /// Return `Waiting` when too many uses wait.
    pub fn add_waiter(&mut self, number: u64, req: RequestId) -> Result<(), LedgerFull> {
        match self.used.get_mut(&number).map(|entry| &mut entry.state) {
            Some(State::Running { waiting }) if waiting.len() < MAX_WAITING => {
                waiting.push(req);
                Ok(())
            }
            _ => Err(LedgerFull::Waiting),
        }
    }

    /// Forget a use that waits.
    pub fn remove_waiter(&mut self, number: u64, req: &RequestId) {
        if let Some(State::Running { waiting }) =
            self.used.get_mut(&number).map(|entry| &mut entry.state)
        {
            waiting.retain(|other| other != req);
        }
    }

    /// Forget a use whose request was never handed to a backend server and for which no other use
    /// waits. Return whether it was forgotten.
    pub fn withdraw_use(&mut self, number: u64) -> bool {
        let unwaited = matches!(
            self.used.get(&number).map(|entry| &entry.state),
            Some(State::Running { waiting }) if waiting.is_empty()
        );
        if unwaited {
            self.remove(number);
        }
        unwaited
    }

    /// Record the end of a request and return the uses that wait for it.
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
        let answer = self.keep(answer);
        let Some(entry) = self.used.get_mut(&number) else {
            return Vec::new();
        };
        let ended = State::Ended {
            at: now,
            outcome,
            answer,
        };
        match std::mem::replace(&mut entry.state, ended) {
            State::Running { waiting } => waiting,
            State::Ended { answer, .. } => {
                self.body_bytes -= body_len(answer.as_ref());
                Vec::new()
            }
        }
    }

    /// Replace the outcome `unknown` by what became known after the request's time was over.
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

    /// Drop the outcomes whose retention is over.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let over: Vec<u64> = self
            .used
            .iter()
            .filter(|(_, entry)| {
                matches!(entry.state, State::Ended { at, .. } if now >= at + RETENTION)
            })
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            self.remove(number);
        }
    }

    fn keep(&mut self, answer: Option<Arc<RecordedAnswer>>) -> Option<Arc<RecordedAnswer>> {
        let len = body_len(answer.as_ref());
        if len > MAX_BODY_BYTES || self.body_bytes + len > MAX_BODIES_BYTES {
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
        if let Some(used) = self.used_by.get_mut(&entry.organisation) {
            *used -= 1;
            if *used == 0 {
                self.used_by.swap_remove(&entry.organisation);
            }
        }
    }
}

fn body_len(answer: Option<&Arc<RecordedAnswer>>) -> usize {
    answer.map_or(0, |answer| answer.body.len())
}
