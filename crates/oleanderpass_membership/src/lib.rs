//! Decide which entry instances are alive, by a protocol like SWIM (design section 4.5).
//!
//! [`membership::Membership`] is sans-IO: the caller passes packets, platform lists and ticks with
//! the time and a random generator, and carries out the outputs. Packets in the outputs carry only
//! member updates; the caller adds document versions, leaving servers and crash evidence with
//! [`packet::attach`].

pub mod member;
pub mod membership;
pub mod packet;

mod contacts;
mod gossip;
mod probe;
mod table;
