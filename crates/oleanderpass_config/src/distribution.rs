//! Bring documents into force on one entry instance (design section 4.4).
//!
//! [`Distribution`] is sans-IO: the caller passes what the platform and peers say together with the
//! time, and carries out the outputs.

use std::sync::Arc;

use indexmap::IndexSet;
use oleanderpass_proto::peer::DocumentDelta;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_proto::peer::FetchDocumentRequest;
use oleanderpass_proto::peer::FetchDocumentResponse;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;

use crate::accept::Rejection;
use crate::accept::accept_yaml;
use crate::candidates::Candidates;
use crate::candidates::Noted;
use crate::canonical::digest;
use crate::content::Content;
use crate::delta;
use crate::delta::DeltaChain;
use crate::document::Document;
use crate::fetching::Fetching;
use crate::fetching::Outstanding;
use crate::readers::is_reader;
use crate::reading::Brought;
use crate::reading::Read;
use crate::reading::Reading;
use crate::startup::Startup;
use crate::version::Version;

/// The time between two ticks from which on the process counts as paused. It heard nothing of
/// conflicts meanwhile, so candidates settle anew.
const PAUSE: Millis = Millis::from_secs(1);

/// The most alarms that are remembered, so that each is raised once.
const MAX_ALARMS: usize = 16;

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The platform answered with a text.
    Text(&'a str),
    /// The platform has no generation above the one asked for.
    Unchanged,
    /// The platform couldn't be read.
    ReadFailed,
    /// A peer's packet announced its versions.
    PeerVersions {
        /// The peer.
        peer: &'a InstanceId,
        /// The version that it has in force.
        in_force: Option<&'a DocumentVersion>,
        /// Its candidates and conflict marks.
        candidates: &'a [DocumentVersion],
    },
    /// A peer answered a fetch.
    Fetched {
        /// The peer.
        peer: &'a InstanceId,
        /// The answer.
        answer: &'a FetchDocumentResponse,
    },
    /// A fetch failed.
    FetchFailed(&'a InstanceId),
    /// This instance's view of the fleet changed.
    Members {
        /// The peers in this instance's zone that are alive and not leaving.
        zone_peers: &'a [InstanceId],
        /// All peers that aren't dead.
        all_peers: &'a [InstanceId],
    },
    /// Read the platform as soon as no read is waiting, as after a late wake-up.
    Refresh,
    /// Time has passed. Expected every 100 ms.
    Tick,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the platform; answer by `Text`, `Unchanged` or `ReadFailed`.
    Read(Read),
    /// Fetch a document; answer by `Fetched` or `FetchFailed`.
    Fetch {
        /// The peer.
        peer: InstanceId,
        /// The version to start a delta chain from; `None` asks for the whole document.
        held: Option<Version>,
        /// The version that the peer has in force.
        wanted: Version,
    },
    /// Tell the readers of all zones ([`crate::readers::choose_readers`]) at once, by a probe with [`Distribution::in_force`] and
    /// [`Distribution::announced`]. The regular probes tell everyone else.
    Announce,
    /// A document came into force.
    InForce(Arc<Document>),
    /// A document was rejected. Each is reported once in a row.
    Rejected(Rejection),
    /// Two contents of one generation were in force in the fleet.
    Split {
        /// The content that stays.
        kept: Version,
        /// The content that is given up.
        lost: Version,
    },
    /// The instance may serve.
    Ready,
}

/// What became of the last text of the platform.
#[derive(Clone, Copy, Debug)]
struct LastText {
    digest: Digest,
    brought: Brought,
    candidate: Option<Version>,
}

/// The documents of one entry instance.
#[derive(Clone, Debug)]
pub struct Distribution {
    me: InstanceId,
    in_force: Option<Content>,
    candidates: Candidates,
    chain: DeltaChain,
    reading: Reading,
    fetching: Fetching,
    startup: Startup,
    present: IndexSet<InstanceId>,
    last_text: Option<LastText>,
    alarms: IndexSet<Version>,
    last_tick: Timestamp,
}

impl Distribution {
    /// Start without a document.
    pub fn new(now: Timestamp, me: InstanceId) -> Self {
        Self {
            me,
            in_force: None,
            candidates: Candidates::default(),
            chain: DeltaChain::default(),
            reading: Reading::new(now),
            fetching: Fetching::default(),
            startup: Startup::new(now),
            present: IndexSet::new(),
            last_text: None,
            alarms: IndexSet::new(),
            last_tick: now,
        }
    }

    /// Return the document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.in_force.as_ref().map(|content| &content.document)
    }

    /// Return the version in force, for the packets to peers.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force.as_ref().map(Content::version)
    }

    /// Return conflict marks and candidates, for the packets to peers.
    pub fn announced(&self) -> Vec<DocumentVersion> {
        self.candidates.announced()
    }

    /// Return whether the instance may serve.
    pub fn is_ready(&self) -> bool {
        self.startup.ready
    }

    /// Return whether this instance is a reader of its zone.
    pub fn is_reader(&self) -> bool {
        self.reading.is_reader()
    }

    /// Return the memory of the delta chain, in bytes.
    pub fn chain_bytes(&self) -> usize {
        self.chain.bytes()
    }

    /// Return the response to a peer's fetch, or `None` when there is no document to send.
    pub fn answer_fetch(&self, req: &FetchDocumentRequest) -> Option<FetchDocumentResponse> {
        let wanted = req.wanted.as_ref().and_then(|v| Version::try_from(v).ok());
        let candidate = wanted.and_then(|v| Some((v, self.candidates.get(v)?)));
        if let Some((version, content)) = candidate {
            return Some(FetchDocumentResponse {
                version: Some(version.to_message(false)),
                document: content.canonical.to_vec(),
                ..FetchDocumentResponse::default()
            });
        }
        let content = self.in_force.as_ref()?;
        let held = req.held.as_ref().and_then(|v| Version::try_from(v).ok());
        let deltas = held.map(|held| self.chain.since(held)).unwrap_or_default();
        let delta_bytes: usize = deltas.iter().map(|delta| delta.patch.len()).sum();
        let whole = deltas.is_empty() || delta_bytes > content.canonical.len();
        Some(FetchDocumentResponse {
            version: Some(content.version().to_message(false)),
            in_force: true,
            document: if whole {
                content.canonical.to_vec()
            } else {
                Vec::new()
            },
            deltas: if whole { Vec::new() } else { deltas },
        })
    }

    /// Handle one input and append the outputs.
    pub fn handle(&mut self, now: Timestamp, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Text(text) => self.on_text(now, text, out),
            Input::Unchanged => {
                self.startup.platform_answered();
                self.reading.answered(now, Brought::Nothing);
            }
            Input::ReadFailed => self.reading.answered(now, Brought::Failure),
            Input::PeerVersions {
                peer,
                in_force,
                candidates,
            } => self.on_heard(now, peer, in_force, candidates, out),
            Input::Fetched { peer, answer } => self.on_fetched(peer, answer, out),
            Input::FetchFailed(peer) => {
                if self.fetching.take(peer).is_some() {
                    self.fetching.fail(peer);
                }
            }
            Input::Members {
                zone_peers,
                all_peers,
            } => {
                self.present = all_peers.iter().cloned().collect();
                self.fetching.retain(&self.present);
                self.reading
                    .set_reader(now, is_reader(&self.me, zone_peers));
            }
            Input::Refresh => self.reading.refresh(now),
            Input::Tick => self.on_tick(now, out),
        }
        self.start_calls(now, out);
    }

    fn on_text(&mut self, now: Timestamp, text: &str, out: &mut Vec<Output>) {
        self.startup.platform_answered();
        let text_digest = digest(text.as_bytes());
        let last = self.last_text.filter(|last| last.digest == text_digest);
        // The same text again while its candidate settles needs no second check.
        let settling = last.and_then(|last| last.candidate);
        if settling.is_some_and(|version| self.candidates.get(version).is_some()) {
            self.reading.answered(now, Brought::New);
            return;
        }
        let (brought, candidate) = match accept_yaml(text, self.in_force()) {
            // A watch that began before the version came into force.
            Ok(None) => (Brought::New, None),
            Ok(Some(content)) => {
                let version = content.version();
                (self.on_candidate(now, content, out), Some(version))
            }
            Err(rejection) => {
                if last.is_none_or(|last| last.brought != Brought::Rejected) {
                    out.push(Output::Rejected(rejection));
                }
                (Brought::Rejected, None)
            }
        };
        self.last_text = Some(LastText {
            digest: text_digest,
            brought,
            candidate,
        });
        self.reading.answered(now, brought);
    }

    fn on_candidate(&mut self, now: Timestamp, content: Content, out: &mut Vec<Output>) -> Brought {
        let version = content.version();
        match self.candidates.add(now, content) {
            Noted::Known => {}
            Noted::New => out.push(Output::Announce),
            Noted::Conflict => report_conflict(version, out),
            Noted::Conflicted => return Brought::Rejected,
        }
        Brought::New
    }

    fn on_heard(
        &mut self,
        now: Timestamp,
        peer: &InstanceId,
        in_force: Option<&DocumentVersion>,
        candidates: &[DocumentVersion],
        out: &mut Vec<Output>,
    ) {
        self.startup.peer_answered(peer);
        if let Some(theirs) = in_force.and_then(|raw| Version::try_from(raw).ok()) {
            self.fetching.heard(peer, theirs);
            self.check_split(theirs, out);
            // What a peer has in force needs no settle time; a held copy needs no fetch.
            if let Some(held) = self.candidates.get(theirs) {
                self.put_in_force(held, Vec::new(), out);
            }
        }
        for raw in candidates {
            let Ok(version) = Version::try_from(raw) else {
                continue;
            };
            let current = self.in_force().map(|held| held.generation);
            if Some(version.generation) <= current {
                continue;
            }
            let conflict = if raw.conflicted {
                self.candidates.mark(version)
            } else {
                self.candidates.note(now, version) == Noted::Conflict
            };
            if conflict {
                report_conflict(version, out);
            }
        }
    }

    fn check_split(&mut self, theirs: Version, out: &mut Vec<Output>) {
        let Some(ours) = self.in_force() else {
            return;
        };
        if ours.generation != theirs.generation || ours == theirs || !self.alarms.insert(theirs) {
            return;
        }
        if self.alarms.len() > MAX_ALARMS {
            self.alarms.shift_remove_index(0);
        }
        let kept = ours.max(theirs);
        let lost = ours.min(theirs);
        out.push(Output::Split { kept, lost });
    }

    fn on_fetched(
        &mut self,
        peer: &InstanceId,
        answer: &FetchDocumentResponse,
        out: &mut Vec<Output>,
    ) {
        let Some(fetch) = self.fetching.take(peer) else {
            return;
        };
        let announced = answer.version.as_ref().map(Version::try_from);
        let Some(Ok(announced)) = announced.filter(|_| answer.in_force) else {
            self.fetching.fail(peer);
            return;
        };
        self.fetching.heard(peer, announced);
        if Some(announced) <= self.in_force() {
            return;
        }
        if !answer.document.is_empty() {
            self.on_whole(peer, announced, &answer.document, out);
        } else if fetch.held.is_some() && fetch.held == self.in_force() {
            self.on_deltas(&fetch, announced, &answer.deltas, out);
        } else if fetch.held.is_none() {
            self.fetching.fail(peer);
        }
    }

    fn on_whole(
        &mut self,
        peer: &InstanceId,
        announced: Version,
        json: &[u8],
        out: &mut Vec<Output>,
    ) {
        match check_json(json, announced) {
            Ok(content) => self.put_in_force(content, Vec::new(), out),
            Err(rejection) => {
                self.fetching.fail(peer);
                // A malformed document with the right digest is the same at all peers.
                if digest(json) == announced.digest {
                    self.fetching.refuse(announced);
                }
                out.push(Output::Rejected(rejection));
            }
        }
    }

    fn on_deltas(
        &mut self,
        fetch: &Outstanding,
        announced: Version,
        deltas: &[DocumentDelta],
        out: &mut Vec<Output>,
    ) {
        let Some(held) = &self.in_force else {
            return;
        };
        let patched = delta::apply(&held.canonical, deltas);
        let content = patched.map(|json| check_json(&json, announced));
        match content {
            Ok(Ok(content)) => self.put_in_force(content, deltas.to_vec(), out),
            Ok(Err(error)) => {
                tracing::warn!(peer = %fetch.peer, %error, "delta chain gives a wrong document");
                self.fetching.want_whole();
            }
            Err(error) => {
                tracing::warn!(peer = %fetch.peer, %error, "can't apply a delta chain");
                self.fetching.want_whole();
            }
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if now.since(self.last_tick) >= PAUSE {
            self.candidates.restart(now);
        }
        self.last_tick = now;
        if let Some(settled) = self.candidates.settled(now) {
            self.put_in_force(settled, Vec::new(), out);
            out.push(Output::Announce);
        }
        let has_document = self.in_force.is_some();
        let wants_higher = self.fetching.wanted(self.in_force()).is_some();
        let ready = self
            .startup
            .advance(now, &self.present, has_document, wants_higher);
        if ready {
            out.push(Output::Ready);
        }
    }

    /// Replace the document in force. The version never goes down.
    fn put_in_force(
        &mut self,
        content: Content,
        deltas: Vec<DocumentDelta>,
        out: &mut Vec<Output>,
    ) {
        let version = content.version();
        if Some(version) <= self.in_force() {
            return;
        }
        if let Some(held) = &self.in_force {
            extend_chain(&mut self.chain, held, &content, deltas);
        }
        for offered in self.candidates.overtake(version) {
            let in_force = version;
            out.push(Output::Rejected(Rejection::TwoContents {
                offered,
                in_force,
            }));
        }
        self.fetching.succeed();
        out.push(Output::InForce(content.document.clone()));
        self.in_force = Some(content);
    }

    fn start_calls(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let in_force = self.in_force();
        let after = in_force.map_or(Generation::default(), |version| version.generation);
        let settling = !self.candidates.is_empty() || in_force.is_none();
        if let Some(read) = self.reading.next(now, after, settling) {
            out.push(Output::Read(read));
        }
        if let Some(fetch) = self.fetching.next(now, in_force) {
            out.push(Output::Fetch {
                peer: fetch.peer,
                held: fetch.held,
                wanted: fetch.wanted,
            });
        }
    }
}

fn report_conflict(version: Version, out: &mut Vec<Output>) {
    out.push(Output::Rejected(Rejection::Conflicted(version.generation)));
    out.push(Output::Announce);
}

fn check_json(json: &[u8], announced: Version) -> Result<Content, Rejection> {
    let content = Content::from_json(json).map_err(Rejection::Malformed)?;
    let received = content.version();
    if received != announced {
        return Err(Rejection::WrongDigest {
            announced,
            received,
        });
    }
    Ok(content)
}

/// Add the way from the held to the next document: the fetched steps, or one computed step.
fn extend_chain(
    chain: &mut DeltaChain,
    held: &Content,
    next: &Content,
    deltas: Vec<DocumentDelta>,
) {
    let mut from = held.version();
    for delta in deltas {
        let Ok(digest) = delta.digest.as_slice().try_into() else {
            chain.clear();
            return;
        };
        let to = Version {
            generation: Generation::new(delta.generation),
            digest: Digest(digest),
        };
        chain.push(from, to, delta.patch);
        from = to;
    }
    if from == next.version() {
        return;
    }
    match delta::diff(&held.canonical, &next.canonical) {
        Ok(patch) if from == held.version() => chain.push(from, next.version(), patch),
        _ => chain.clear(),
    }
}
