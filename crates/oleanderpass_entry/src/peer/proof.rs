//! Prove that a call comes from a holder of the fleet key.
//!
//! The receiver computes the digest of a call by encoding the decoded message again. This loses
//! fields that the receiver doesn't know, and the proof fails. A new field of a call is therefore
//! deployed in two steps: first all instances get a version that reads it, then one that sends it.

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
/// It allows for clock skew between the platform's machines and for a pause of the sender.
pub const MAX_AGE_MS: u64 = 30_000;

/// The most nonces remembered at the same time. The home instance of one organisation receives at
/// most about 410 lease requests a second (410 instances, one request a second each), which are
/// 24,600 within the 60 s for which a nonce is remembered.
const MAX_NONCES: usize = 65_536;

/// Separates proofs from other uses of the fleet key.
const DOMAIN: &[u8] = b"oleanderpass call v1\n";

/// Why a proof was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ProofError {
    /// The proof is missing, or its sender is missing or malformed.
    Missing,
    /// The HMAC is wrong.
    Hmac,
    /// The proof's time differs by more than [`MAX_AGE_MS`] from the receiver's.
    Age,
    /// The nonce was used before.
    Replay,
    /// The limit of remembered nonces is reached.
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

/// Create the proof of a call. `body` is the message without its proof.
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

/// Checks proofs and remembers their nonces, so that a replayed call is rejected.
#[derive(Debug)]
pub struct ProofChecker {
    key: FleetKey,
    seen_nonces: HashSet<u64>,
    /// Pairs of arrival time, in Unix milliseconds, and nonce, oldest first.
    by_arrival: VecDeque<(u64, u64)>,
}

impl ProofChecker {
    /// Create a checker that remembers no nonce.
    pub fn new(key: FleetKey) -> Self {
        Self {
            key,
            seen_nonces: HashSet::new(),
            by_arrival: VecDeque::new(),
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
        self.remember_nonce(now_unix_ms, proof.nonce)?;
        Ok(from)
    }

    fn remember_nonce(&mut self, now_unix_ms: u64, nonce: u64) -> Result<(), ProofError> {
        // The sender's clock may be ahead, so a proof can stay valid for twice the largest
        // difference after its arrival.
        let oldest_kept = now_unix_ms.saturating_sub(2 * MAX_AGE_MS);
        while let Some((received_at, expired)) = self.by_arrival.front().copied() {
            if received_at >= oldest_kept {
                break;
            }
            self.by_arrival.pop_front();
            self.seen_nonces.remove(&expired);
        }
        if self.seen_nonces.contains(&nonce) {
            return Err(ProofError::Replay);
        }
        if self.seen_nonces.len() >= MAX_NONCES {
            return Err(ProofError::Full);
        }
        self.seen_nonces.insert(nonce);
        self.by_arrival.push_back((now_unix_ms, nonce));
        Ok(())
    }
}
