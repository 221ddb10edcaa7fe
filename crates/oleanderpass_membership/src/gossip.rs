//! Queue member updates and choose the ones that a packet carries.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

/// The factor in the number of packets that repeat an update. 3·log2(n) repetitions reach all of n
/// instances with a probability that tends to 1 as n grows (SWIM, section 4.1).
const REPEAT_FACTOR: u32 = 3;

/// The number of packets that an instance sends after a change without waiting for the next probe.
/// Each informs up to one more instance, so most of a fleet learns of a crash within a few push
/// intervals.
const PUSHES_PER_CHANGE: u32 = 3;

/// The time between pushes, which limits them to 4 packets a second while many members change.
const PUSH_INTERVAL: Millis = Millis::new(250);

/// The members whose updates are still to be spread.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    /// The number of packets that have carried each update.
    sent_counts: IndexMap<InstanceId, u32>,
    pushes_left: u32,
    next_push: Timestamp,
}

impl UpdateQueue {
    /// Queue the update of a member; its repetitions are counted from zero.
    pub(crate) fn enqueue(&mut self, id: &InstanceId) {
        self.sent_counts.insert(id.clone(), 0);
    }

    /// Schedule pushes, which send the queued updates to some members without waiting for the next
    /// probe.
    pub(crate) fn schedule_pushes(&mut self) {
        self.pushes_left = PUSHES_PER_CHANGE;
    }

    /// Return whether a push is due, and count it as sent.
    pub(crate) fn start_due_push(&mut self, now: Timestamp) -> bool {
        let due = self.pushes_left > 0 && now >= self.next_push;
        if due {
            self.pushes_left -= 1;
            self.next_push = now + PUSH_INTERVAL;
        }
        due
    }

    /// Return up to `count` members with queued updates: the urgent ones first, each kind ordered
    /// by rising number of repetitions.
    pub(crate) fn select(
        &self,
        count: usize,
        is_urgent: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let keys = self
            .sent_counts
            .iter()
            .map(|(id, sent)| (!is_urgent(id), *sent));
        let mut updates: Vec<_> = keys.zip(0..).collect();
        updates.sort_unstable();
        let chosen = updates.into_iter().take(count);
        let ids = chosen.filter_map(|(_, index)| self.sent_counts.get_index(index));
        ids.map(|(id, _)| id.clone()).collect()
    }

    /// Count a packet that carries the update, and remove the update after enough repetitions.
    pub(crate) fn record_sent(&mut self, id: &InstanceId, members: usize) {
        if let Some(sent) = self.sent_counts.get_mut(id) {
            *sent += 1;
            if *sent >= max_repetitions(members) {
                self.sent_counts.swap_remove(id);
            }
        }
    }

    /// Remove the update of a member.
    pub(crate) fn remove(&mut self, id: &InstanceId) {
        self.sent_counts.swap_remove(id);
    }
}

fn max_repetitions(members: usize) -> u32 {
    let log2 = (members + 1).next_power_of_two().ilog2().max(1);
    REPEAT_FACTOR * log2
}
