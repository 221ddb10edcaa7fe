//! Choose the member updates that a packet carries.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

/// The factor of the number of repetitions of an update. 3·log2(n) repetitions reach all of n
/// instances with a probability that tends to 1 as n grows (SWIM, section 4.1).
const REPEAT_FACTOR: u32 = 3;

/// The packets that an instance sends at once when it hears news. Each informs up to one more
/// instance, so most of a fleet hears of a crash within a few push intervals.
const PUSHES: u32 = 3;

/// The time between pushes: at most 4 packets a second while much changes.
const PUSH_INTERVAL: Millis = Millis::new(250);

/// News of members with the number of packets that carried each.
#[derive(Debug, Default)]
pub(crate) struct News {
    sent: IndexMap<InstanceId, u32>,
    pushes: u32,
    next_push: Timestamp,
}

impl News {
    /// Spread an update of a member anew.
    pub(crate) fn add(&mut self, id: &InstanceId) {
        self.sent.insert(id.clone(), 0);
    }

    /// Push the present news to some members without waiting for the next probe.
    pub(crate) fn hurry(&mut self) {
        self.pushes = PUSHES;
    }

    /// Return whether a push is due, and count it.
    pub(crate) fn take_push(&mut self, now: Timestamp) -> bool {
        let due = self.pushes > 0 && now >= self.next_push;
        if due {
            self.pushes -= 1;
            self.next_push = now + PUSH_INTERVAL;
        }
        due
    }

    /// Return some members with news: the urgent ones first, and of these the least repeated.
    pub(crate) fn next(
        &self,
        count: usize,
        is_urgent: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let keys = self.sent.iter().map(|(id, sent)| (!is_urgent(id), *sent));
        let mut news: Vec<_> = keys.zip(0..).collect();
        news.sort_unstable();
        let chosen = news.into_iter().take(count);
        let ids = chosen.filter_map(|(_, index)| self.sent.get_index(index));
        ids.map(|(id, _)| id.clone()).collect()
    }

    /// Count a packet that carries the update, and forget it after enough repetitions.
    pub(crate) fn count(&mut self, id: &InstanceId, members: usize) {
        if let Some(sent) = self.sent.get_mut(id) {
            *sent += 1;
            if *sent >= repetitions(members) {
                self.sent.swap_remove(id);
            }
        }
    }

    /// Forget the news of a member.
    pub(crate) fn remove(&mut self, id: &InstanceId) {
        self.sent.swap_remove(id);
    }
}

fn repetitions(members: usize) -> u32 {
    let log2 = (members + 1).next_power_of_two().ilog2().max(1);
    REPEAT_FACTOR * log2
}
