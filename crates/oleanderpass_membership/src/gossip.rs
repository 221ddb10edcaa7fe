//! Choose the member updates that a packet carries.

use indexmap::IndexMap;
use oleanderpass_types::id::InstanceId;

/// The factor of the number of repetitions of an update. 3·log2(n) repetitions reach all of n
/// instances with a probability that tends to 1 as n grows (SWIM, section 4.1).
const REPEAT_FACTOR: u32 = 3;

/// News of members with the number of packets that carried each.
#[derive(Debug, Default)]
pub(crate) struct News {
    sent: IndexMap<InstanceId, u32>,
}

impl News {
    /// Spread an update of a member anew.
    pub(crate) fn add(&mut self, id: &InstanceId) {
        self.sent.insert(id.clone(), 0);
    }

    /// Return some members with news, the least repeated first.
    pub(crate) fn least_sent(&self, count: usize) -> Vec<InstanceId> {
        let mut news: Vec<_> = self.sent.values().copied().zip(0..).collect();
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
