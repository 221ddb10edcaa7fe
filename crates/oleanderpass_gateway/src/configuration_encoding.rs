//! Encode a configuration for a peer, as a change of an older version or compressed as a whole.
//!
//! The encodings are those of HTTP: Zstandard (RFC 8878), and Zstandard with the older version as its
//! dictionary (RFC 9842, `dcz`). Versions mostly differ in a small part, so that a change takes
//! hundreds of bytes where the whole takes a megabyte. A digest of the whole shows that what was
//! decoded is what the peer has.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use oleanderpass_types::size::Bytes as Size;
use sha2::Digest as _;
use sha2::Sha256;
use strum::Display;
use strum::EnumString;
use zstd::zstd_safe;
use zstd::zstd_safe::CCtx;
use zstd::zstd_safe::CParameter;
use zstd::zstd_safe::DCtx;

/// The start of a `dcz` body: a skippable frame of Zstandard whose content is the digest of the
/// dictionary. Source: RFC 9842.
const DCZ_MAGIC: [u8; 8] = [0x5e, 0x2a, 0x4d, 0x18, 0x20, 0x00, 0x00, 0x00];

/// The length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// The compression level. Lower levels lose track of a long dictionary, and higher ones take several
/// times as long.
const LEVEL: i32 = 3;

/// The smallest and the largest window, as powers of two. The window has to span the dictionary and
/// the value. The largest one is 128 MiB, the most that decoders accept by default.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;

/// How the configuration in an answer is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Encoding {
    /// Not at all.
    Identity,
    /// As a whole.
    Zstd,
    /// As a change of another version.
    Dcz,
}

/// The SHA-256 digest of a value. It is written as a byte sequence of an HTTP structured field.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Return the digest of a value.
    pub fn of(value: &[u8]) -> Self {
        Self(Sha256::digest(value).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, ":{}:", BASE64_STANDARD.encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = DecodeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let inner = text.trim().strip_prefix(':');
        let inner = inner.and_then(|text| text.strip_suffix(':'));
        let bytes = inner.and_then(|text| BASE64_STANDARD.decode(text).ok());
        let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
        bytes.map(Self).ok_or(DecodeError::Malformed)
    }
}

/// Why an encoded configuration can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum DecodeError {
    /// It isn't in the format that its encoding names.
    Malformed,
    /// It is a change of a version that this instance doesn't have.
    OtherDictionary,
    /// What was decoded isn't what the peer has.
    OtherDigest,
}

impl std::error::Error for DecodeError {}

/// Compress a value, as a change of `dictionary` if there is one. Return `None` if that fails.
pub fn encode(value: &[u8], dictionary: Option<(&Digest, &[u8])>) -> Option<Bytes> {
    let mut head = Vec::new();
    let mut cx = CCtx::create();
    let old = dictionary.map_or(&[][..], |(_, old)| old);
    let span = (value.len() + old.len()) as u64;
    let window_log =
        (u64::BITS - span.leading_zeros()).clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end());
    cx.set_parameter(CParameter::CompressionLevel(LEVEL)).ok()?;
    cx.set_parameter(CParameter::WindowLog(window_log)).ok()?;
    if let Some((digest, old)) = dictionary {
        head.extend_from_slice(&DCZ_MAGIC);
        head.extend_from_slice(&digest.0);
        cx.ref_prefix(old).ok()?;
    }
    let mut frame = Vec::with_capacity(zstd_safe::compress_bound(value.len()));
    cx.compress2(&mut frame, value).ok()?;
    head.extend_from_slice(&frame);
    Some(head.into())
}

/// Split a body into the digest of its dictionary and its frame.
fn split(encoding: Encoding, body: &[u8]) -> Result<(Option<Digest>, &[u8]), DecodeError> {
    if encoding != Encoding::Dcz {
        return Ok((None, body));
    }
    let rest = body
        .strip_prefix(&DCZ_MAGIC)
        .ok_or(DecodeError::Malformed)?;
    let (digest, frame) = rest
        .split_first_chunk::<DIGEST_BYTES>()
        .ok_or(DecodeError::Malformed)?;
    Ok((Some(Digest(*digest)), frame))
}

/// Return the digest of the version that a body changes, or `None` if it changes none.
///
/// # Errors
///
/// Return [`DecodeError::Malformed`] if it should name one and doesn't.
pub fn dictionary_of(encoding: Encoding, body: &[u8]) -> Result<Option<Digest>, DecodeError> {
    split(encoding, body).map(|(dictionary, _)| dictionary)
}

/// Return the size that a body states for what it decodes to.
///
/// # Errors
///
/// Return [`DecodeError::Malformed`] if it states none.
pub fn decoded_size(encoding: Encoding, body: &[u8]) -> Result<Size, DecodeError> {
    if encoding == Encoding::Identity {
        return Ok(Size::new(body.len() as u64));
    }
    let (_, frame) = split(encoding, body)?;
    let size = zstd_safe::get_frame_content_size(frame).ok().flatten();
    size.map(Size::new).ok_or(DecodeError::Malformed)
}

/// Decode a body, which takes [`decoded_size`]. `dictionary` is the version that it changes.
///
/// # Errors
///
/// Return why the body can't be used.
pub fn decode(
    encoding: Encoding,
    body: &Bytes,
    dictionary: Option<&[u8]>,
) -> Result<Bytes, DecodeError> {
    if encoding == Encoding::Identity {
        return Ok(body.clone());
    }
    let size = decoded_size(encoding, body)?.get();
    let size = usize::try_from(size).map_err(|_| DecodeError::Malformed)?;
    let (wanted, frame) = split(encoding, body)?;
    let mut cx = DCtx::create();
    if wanted.is_some() {
        let old = dictionary.ok_or(DecodeError::OtherDictionary)?;
        cx.ref_prefix(old).map_err(|_| DecodeError::Malformed)?;
    }
    let mut value = Vec::with_capacity(size);
    cx.decompress(&mut value, frame)
        .map_err(|_| DecodeError::Malformed)?;
    Ok(value.into())
}
