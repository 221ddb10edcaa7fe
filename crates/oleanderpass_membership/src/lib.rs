//! Decide which entry instances are alive (design section 4.5).
//!
//! [`membership::Membership`] is sans-IO: the caller passes packets, platform lists and ticks with
//! the time and a random generator, and carries out the outputs. Packets leave here with member
//! updates only; the caller adds what else it has to say by [`packet::attach`].

pub mod member;
pub mod membership;
pub mod packet;

mod contacts;
mod gossip;
mod probe;
mod table;
