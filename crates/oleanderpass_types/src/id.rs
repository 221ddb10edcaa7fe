//! Identify organisations, instances, backend servers, requests and documents.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The length of the longest text id that is accepted.
pub const MAX_TEXT_ID_BYTES: usize = 64;

/// A text that can't be used as an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidId {
    kind: &'static str,
    text: SmolStr,
}

impl fmt::Display for InvalidId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid {} `{}`: use 1 to {MAX_TEXT_ID_BYTES} ASCII letters, digits, `.`, `_` or `-`",
            self.kind, self.text
        )
    }
}

impl std::error::Error for InvalidId {}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// Return the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let valid = !text.is_empty()
                    && text.len() <= MAX_TEXT_ID_BYTES
                    && text
                        .bytes()
                        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
                if valid {
                    Ok(Self(SmolStr::new(text)))
                } else {
                    Err(InvalidId { kind: $kind, text: text.chars().take(80).collect() })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidId;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.into()
            }
        }
    };
}

text_id!(
    /// An organisation: a customer whose callers share limits.
    OrganisationId,
    "organisation id"
);
text_id!(
    /// A caller of an organisation: one API key.
    CallerId,
    "caller id"
);
text_id!(
    /// A model that engines serve.
    ModelId,
    "model id"
);
text_id!(
    /// An adapter of a model.
    AdapterId,
    "adapter id"
);
text_id!(
    /// A named route to a plain service.
    RouteId,
    "route id"
);
text_id!(
    /// A group of equal backend servers, such as `skald` or `bokhald`.
    ServiceId,
    "service id"
);
text_id!(
    /// An availability zone.
    ZoneId,
    "availability zone"
);
text_id!(
    /// A region: a group of availability zones.
    RegionId,
    "region"
);
text_id!(
    /// An entry instance: one process of the system.
    InstanceId,
    "entry instance id"
);
text_id!(
    /// A backend server: a model engine or a worker of a plain service.
    BackendServerId,
    "backend server id"
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Create the value from a number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Return the number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_id!(
    /// A number that identifies one run of a process. It differs after each restart.
    Incarnation
);
number_id!(
    /// The generation of an environment document. A higher one replaces a lower one.
    Generation
);

/// The id of a part of a prompt that several prompts may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(u64);

impl PromptPartId {
    /// Create the id from a number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Return the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The id of a request, unique over the fleet: the instance that admitted it, that instance's
/// incarnation and a number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The instance that admitted the request.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The number of the request within the incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{:x}:{:x}",
            self.instance,
            self.incarnation.get(),
            self.number
        )
    }
}

/// The number of an attempt of a request, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The id of the stream of one attempt. Backend servers identify the stream by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamId {
    /// The request that the attempt belongs to.
    pub req: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.req, self.attempt)
    }
}

/// The SHA-256 digest of a document or a body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// A text that is not a digest in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a SHA-256 digest has 64 hexadecimal digits")
    }
}

impl std::error::Error for InvalidDigest {}

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut digest = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return Err(InvalidDigest);
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Digest(digest))
    }
}
