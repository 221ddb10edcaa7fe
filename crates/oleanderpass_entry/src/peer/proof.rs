//! Prove that a call comes from a holder of the fleet key.
//!
//! The receiver encodes the decoded message again to compute its digest. A field that it doesn't
//! know is lost then, and the proof fails. Therefore a new field of a call is deployed in two
//! steps: first all instances learn to read it, then a later version sends it.

use std::collections::HashSet;
use std::collections::VecDeque;

use hmac::Hmac;
use hmac::Mac;
use oleanderpass_core::instance::Identity;
use oleanderpass_proto::peer::Proof;
use oleanderpass_types::id::InstanceId;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;
use strum::Display;

use crate::peer::mac;
use crate::settings::FleetKey;

/// The largest difference between the sender's and the receiver's Unix time, in milliseconds.
/// It covers clock skew of the platform's machines and a pause of the sender.
pub const MAX_AGE_MS: u64 = 30_000;

/// Nonces remembered at the same time. A home instance receives at most about 200 calls a second
/// (410 instances, one call each 2 s), 12,000 within the window.
const MAX_NONCES: usize = 65_536;

/// Separates proofs from other uses of the fleet key.
const DOMAIN: &[u8] = b"oleanderpass call v1\n";

/// Why a proof was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ProofError {
    /// The proof or its sender is missing or malformed.
    Missing,
    /// The HMAC is wrong.
    Hmac,
    /// The proof is too old or lies in the future.
    Age,
    /// The nonce was used before.
    Replay,
    /// Too many nonces are remembered.
    Full,
}

fn mac(key: &FleetKey, method: &str, proof: &Proof, body: &impl Message) -> Hmac<Sha256> {
    let mut mac = mac::start(key, DOMAIN);
    for text in [method, &proof.from] {
        mac.update(&(text.len() as u64).to_be_bytes());
        mac.update(text.as_bytes());
    }
    for number in [proof.incarnation, proof.unix_ms, proof.nonce] {
        mac.update(&number.to_be_bytes());
    }
    mac.update(&Sha256::digest(body.encode_to_vec()));
    mac
}

/// Sign a call. `body` is the message without its proof.
pub fn sign(
    key: &FleetKey,
    identity: &Identity,
    method: &str,
    unix_ms: u64,
    nonce: u64,
    body: &impl Message,
) -> Proof {
    let mut proof = Proof {
        from: identity.instance.to_string(),
        incarnation: identity.incarnation.get(),
        unix_ms,
        nonce,
        hmac: Vec::new(),
    };
    proof.hmac = mac(key, method, &proof, body)
        .finalize()
        .into_bytes()
        .to_vec();
    proof
}

/// Check proofs and remember their nonces.
#[derive(Debug)]
pub struct ProofChecker {
    key: FleetKey,
    seen: HashSet<u64>,
    by_age: VecDeque<(u64, u64)>,
}

impl ProofChecker {
    /// Create a checker that has seen no nonce.
    pub fn new(key: FleetKey) -> Self {
        Self {
            key,
            seen: HashSet::new(),
            by_age: VecDeque::new(),
        }
    }

    /// Check the proof of a call and return its sender. `body` is the message without its proof.
    ///
    /// # Errors
    ///
    /// Return why the call must be rejected.
    pub fn check(
        &mut self,
        now_unix_ms: u64,
        method: &str,
        proof: Option<&Proof>,
        body: &impl Message,
    ) -> Result<InstanceId, ProofError> {
        let proof = proof.ok_or(ProofError::Missing)?;
        let from = proof.from.parse().map_err(|_| ProofError::Missing)?;
        mac(&self.key, method, proof, body)
            .verify_slice(&proof.hmac)
            .map_err(|_| ProofError::Hmac)?;
        if now_unix_ms.abs_diff(proof.unix_ms) > MAX_AGE_MS {
            return Err(ProofError::Age);
        }
        self.remember(now_unix_ms, proof.nonce)?;
        Ok(from)
    }

    fn remember(&mut self, now_unix_ms: u64, nonce: u64) -> Result<(), ProofError> {
        // A proof from the future stays acceptable for twice the largest difference.
        let oldest = now_unix_ms.saturating_sub(2 * MAX_AGE_MS);
        while let Some((at, old)) = self.by_age.front().copied() {
            if at >= oldest {
                break;
            }
            self.by_age.pop_front();
            self.seen.remove(&old);
        }
        if self.seen.contains(&nonce) {
            return Err(ProofError::Replay);
        }
        if self.seen.len() >= MAX_NONCES {
            return Err(ProofError::Full);
        }
        self.seen.insert(nonce);
        self.by_age.push_back((now_unix_ms, nonce));
        Ok(())
    }
}
