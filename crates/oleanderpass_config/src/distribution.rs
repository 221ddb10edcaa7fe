//! Distribute documents among entry instances, and decide which one is in force on this instance
//! (design section 4.4).
//!
//! [`Distribution`] is sans-IO: its user passes answers of the platform, messages of peers and the
//! time as inputs, and carries out the outputs.
//!
//! A document that an instance reads from the platform is first a candidate. Its version is
//! announced to peers, and it comes into force when no other content of its generation was found
//! within the settle time. A higher version that a peer has in force is fetched and comes into
//! force at once.

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
use crate::candidates::Recorded;
use crate::canonical::digest;
use crate::content::Content;
use crate::delta;
use crate::delta::DeltaChain;
use crate::document::Document;
use crate::fetch_schedule::FetchSchedule;
use crate::fetch_schedule::PendingFetch;
use crate::read_schedule::Read;
use crate::read_schedule::ReadResult;
use crate::read_schedule::ReadSchedule;
use crate::readers::is_reader;
use crate::startup::Startup;
use crate::version::Version;

/// The process counts as paused if at least this time passes between two ticks. Announcements of
/// conflicts may not have arrived meanwhile, so the settle time of candidates starts again.
const PAUSE_THRESHOLD: Millis = Millis::from_secs(1);

/// The most versions kept of reported splits. They are kept so that each split is reported once.
const MAX_REPORTED_SPLITS: usize = 16;

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The platform answered with the YAML text of a document.
    Text(&'a str),
    /// The platform answered without a text: it has no generation above [`Read::after`].
    Unchanged,
    /// A read of the platform failed.
    ReadFailed,
    /// A peer's packet announced its versions.
    PeerVersions {
        /// The peer.
        peer: &'a InstanceId,
        /// The version that the peer has in force; `None` before its first one.
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
    /// Read the platform as soon as no read is pending, for example after the process was paused.
    Refresh,
    /// Time has passed; expected every 100 ms.
    Tick,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the platform; the result is passed as `Text`, `Unchanged` or `ReadFailed`.
    Read(Read),
    /// Fetch a document from a peer; the result is passed as `Fetched` or `FetchFailed`.
    Fetch {
        /// The peer.
        peer: InstanceId,
        /// The version to start a delta chain from; `None` asks for the whole document.
        held: Option<Version>,
        /// The version that the peer has in force.
        wanted: Version,
    },
    /// Probe the readers of all zones ([`crate::readers::choose_readers`]) at once. The probe
    /// carries [`Distribution::in_force`] and [`Distribution::announced`]; all other peers receive
    /// them with the regular probes.
    Announce,
    /// A document came into force.
    InForce(Arc<Document>),
    /// A document was rejected. A rejected text that consecutive reads return is reported once.
    Rejected(Rejection),
    /// Two contents of one generation were in force in the fleet.
    Split {
        /// The version that stays in force: the one with the higher digest.
        kept: Version,
        /// The version that is replaced where it is in force.
        lost: Version,
    },
    /// The instance has become ready to serve.
    Ready,
}

/// The last text from the platform and the result of its checks.
#[derive(Clone, Copy, Debug)]
struct LastText {
    /// The digest of the text itself, not of its canonical form.
    digest: Digest,
    result: ReadResult,
    /// The version, if the text was checked as a candidate.
    candidate: Option<Version>,
}

/// The document in force on one entry instance, its candidates and the state of reads and fetches.
#[derive(Clone, Debug)]
pub struct Distribution {
    me: InstanceId,
    in_force: Option<Content>,
    candidates: Candidates,
    chain: DeltaChain,
    reads: ReadSchedule,
    fetches: FetchSchedule,
    startup: Startup,
    /// All other instances that aren't dead.
    peers: IndexSet<InstanceId>,
    last_text: Option<LastText>,
    /// The versions of peers for which a split was reported.
    reported_splits: IndexSet<Version>,
    last_tick: Timestamp,
}

impl Distribution {
    /// Create the state of an instance that has no document yet.
    pub fn new(now: Timestamp, me: InstanceId) -> Self {
        Self {
            me,
            in_force: None,
            candidates: Candidates::default(),
            chain: DeltaChain::default(),
            reads: ReadSchedule::new(now),
            fetches: FetchSchedule::default(),
            startup: Startup::new(now),
            peers: IndexSet::new(),
            last_text: None,
            reported_splits: IndexSet::new(),
            last_tick: now,
        }
    }

    /// Return the document in force; `None` before the first one.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.in_force.as_ref().map(|content| &content.document)
    }

    /// Return the version in force, which packets to peers carry.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force.as_ref().map(Content::version)
    }

    /// Return the conflict marks and the versions of candidates, which packets to peers carry.
    pub fn announced(&self) -> Vec<DocumentVersion> {
        self.candidates.announced()
    }

    /// Return whether the instance may serve.
    pub fn is_ready(&self) -> bool {
        self.startup.ready
    }

    /// Return whether this instance is a reader of its zone.
    pub fn is_reader(&self) -> bool {
        self.reads.is_reader()
    }

    /// Return the size of all patches in the delta chain, in bytes.
    pub fn chain_bytes(&self) -> usize {
        self.chain.bytes()
    }

    /// Return the response to a peer's fetch, or `None` when there is no document to send.
    pub fn answer_fetch(&self, req: &FetchDocumentRequest) -> Option<FetchDocumentResponse> {
        let wanted = req.wanted.as_ref().and_then(|v| Version::try_from(v).ok());
        let candidate = wanted.and_then(|v| Some((v, self.candidates.content(v)?)));
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
        let send_whole = deltas.is_empty() || delta_bytes > content.canonical.len();
        Some(FetchDocumentResponse {
            version: Some(content.version().to_message(false)),
            in_force: true,
            document: if send_whole {
                content.canonical.to_vec()
            } else {
                Vec::new()
            },
            deltas: if send_whole { Vec::new() } else { deltas },
        })
    }

    /// Apply one input and append the outputs to `out`.
    pub fn handle(&mut self, now: Timestamp, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Text(text) => self.on_text(now, text, out),
            Input::Unchanged => {
                self.startup.record_platform_answer();
                self.reads.record_result(now, ReadResult::Unchanged);
            }
            Input::ReadFailed => self.reads.record_result(now, ReadResult::Failed),
            Input::PeerVersions {
                peer,
                in_force,
                candidates,
            } => self.on_peer_versions(now, peer, in_force, candidates, out),
            Input::Fetched { peer, answer } => self.on_fetched(peer, answer, out),
            Input::FetchFailed(peer) => {
                if self.fetches.take_pending(peer).is_some() {
                    self.fetches.record_failure(peer);
                }
            }
            Input::Members {
                zone_peers,
                all_peers,
            } => {
                self.peers = all_peers.iter().cloned().collect();
                self.fetches.retain_peers(&self.peers);
                self.reads.set_reader(now, is_reader(&self.me, zone_peers));
            }
            Input::Refresh => self.reads.refresh(now),
            Input::Tick => self.on_tick(now, out),
        }
        self.start_read_and_fetch(now, out);
    }

    fn on_text(&mut self, now: Timestamp, text: &str, out: &mut Vec<Output>) {
        self.startup.record_platform_answer();
        let text_digest = digest(text.as_bytes());
        let last = self.last_text.filter(|last| last.digest == text_digest);
        // A candidate that is still held was checked when its text was first read.
        let last_candidate = last.and_then(|last| last.candidate);
        if last_candidate.is_some_and(|version| self.candidates.content(version).is_some()) {
            self.reads.record_result(now, ReadResult::Usable);
            return;
        }
        let (result, candidate) = match accept_yaml(text, self.in_force()) {
            // The text is in force already: the read began before it came into force.
            Ok(None) => (ReadResult::Usable, None),
            Ok(Some(content)) => {
                let version = content.version();
                (self.on_candidate(now, content, out), Some(version))
            }
            Err(rejection) => {
                if last.is_none_or(|last| last.result != ReadResult::Rejected) {
                    out.push(Output::Rejected(rejection));
                }
                (ReadResult::Rejected, None)
            }
        };
        self.last_text = Some(LastText {
            digest: text_digest,
            result,
            candidate,
        });
        self.reads.record_result(now, result);
    }

    fn on_candidate(
        &mut self,
        now: Timestamp,
        content: Content,
        out: &mut Vec<Output>,
    ) -> ReadResult {
        let version = content.version();
        match self.candidates.add(now, content) {
            Recorded::Known => {}
            Recorded::New => out.push(Output::Announce),
            Recorded::NewConflict => report_conflict(version, out),
            Recorded::KnownConflict => return ReadResult::Rejected,
        }
        ReadResult::Usable
    }

    fn on_peer_versions(
        &mut self,
        now: Timestamp,
        peer: &InstanceId,
        in_force: Option<&DocumentVersion>,
        candidates: &[DocumentVersion],
        out: &mut Vec<Output>,
    ) {
        self.startup.record_peer_answer(peer);
        if let Some(theirs) = in_force.and_then(|raw| Version::try_from(raw).ok()) {
            self.fetches.record_peer_version(peer, theirs);
            self.report_split(theirs, out);
            // A version that a peer has in force needs no settle time, and no fetch if it is held
            // as a candidate.
            if let Some(held) = self.candidates.content(theirs) {
                self.bring_into_force(held, Vec::new(), out);
            }
        }
        for raw in candidates {
            let Ok(version) = Version::try_from(raw) else {
                continue;
            };
            let own_generation = self.in_force().map(|own| own.generation);
            if Some(version.generation) <= own_generation {
                continue;
            }
            let conflict = if raw.conflicted {
                self.candidates.mark_conflicted(version)
            } else {
                self.candidates.record(now, version) == Recorded::NewConflict
            };
            if conflict {
                report_conflict(version, out);
            }
        }
    }

    /// Report a peer's version in force with the same generation and another content, once.
    fn report_split(&mut self, theirs: Version, out: &mut Vec<Output>) {
        let Some(ours) = self.in_force() else {
            return;
        };
        if ours.generation != theirs.generation
            || ours == theirs
            || !self.reported_splits.insert(theirs)
        {
            return;
        }
        if self.reported_splits.len() > MAX_REPORTED_SPLITS {
            self.reported_splits.shift_remove_index(0);
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
        let Some(fetch) = self.fetches.take_pending(peer) else {
            return;
        };
        let announced = answer.version.as_ref().map(Version::try_from);
        let Some(Ok(announced)) = announced.filter(|_| answer.in_force) else {
            self.fetches.record_failure(peer);
            return;
        };
        self.fetches.record_peer_version(peer, announced);
        if Some(announced) <= self.in_force() {
            return;
        }
        if !answer.document.is_empty() {
            self.on_whole_document(peer, announced, &answer.document, out);
        } else if fetch.held.is_some() && fetch.held == self.in_force() {
            self.on_deltas(&fetch, announced, &answer.deltas, out);
        } else if fetch.held.is_none() {
            self.fetches.record_failure(peer);
        }
        // Otherwise another document came into force during the fetch, so the deltas don't apply to
        // it. That isn't a failure of the peer; it may be asked again.
    }

    fn on_whole_document(
        &mut self,
        peer: &InstanceId,
        announced: Version,
        json: &[u8],
        out: &mut Vec<Output>,
    ) {
        match check_fetched(json, announced) {
            Ok(content) => self.bring_into_force(content, Vec::new(), out),
            Err(rejection) => {
                self.fetches.record_failure(peer);
                // With the right digest, the document is the same at all peers and malformed for
                // this program version.
                if digest(json) == announced.digest {
                    self.fetches.exclude(announced);
                }
                out.push(Output::Rejected(rejection));
            }
        }
    }

    fn on_deltas(
        &mut self,
        fetch: &PendingFetch,
        announced: Version,
        deltas: &[DocumentDelta],
        out: &mut Vec<Output>,
    ) {
        let Some(held) = &self.in_force else {
            return;
        };
        let patched = delta::apply(&held.canonical, deltas);
        let content = patched.map(|json| check_fetched(&json, announced));
        match content {
            Ok(Ok(content)) => self.bring_into_force(content, deltas.to_vec(), out),
            Ok(Err(error)) => {
                tracing::warn!(
                    peer = %fetch.peer,
                    %error,
                    "delta chain leads to a wrong document; fetching the whole document"
                );
                self.fetches.require_whole();
            }
            Err(error) => {
                tracing::warn!(
                    peer = %fetch.peer,
                    %error,
                    "failed to apply a delta chain; fetching the whole document"
                );
                self.fetches.require_whole();
            }
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if now.since(self.last_tick) >= PAUSE_THRESHOLD {
            self.candidates.restart_settling(now);
        }
        self.last_tick = now;
        if let Some(settled) = self.candidates.highest_settled(now) {
            self.bring_into_force(settled, Vec::new(), out);
            out.push(Output::Announce);
        }
        let has_document = self.in_force.is_some();
        let higher_known = self.fetches.highest_newer(self.in_force()).is_some();
        let ready = self
            .startup
            .update(now, &self.peers, has_document, higher_known);
        if ready {
            out.push(Output::Ready);
        }
    }

    /// Replace the document in force, unless the version isn't higher.
    fn bring_into_force(
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
        for offered in self.candidates.remove_superseded(version) {
            let in_force = version;
            out.push(Output::Rejected(Rejection::OtherContentInForce {
                offered,
                in_force,
            }));
        }
        self.fetches.clear_failures();
        out.push(Output::InForce(content.document.clone()));
        self.in_force = Some(content);
    }

    fn start_read_and_fetch(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let in_force = self.in_force();
        let after = in_force.map_or(Generation::default(), |version| version.generation);
        let immediate = !self.candidates.is_empty() || in_force.is_none();
        if let Some(read) = self.reads.start_next(now, after, immediate) {
            out.push(Output::Read(read));
        }
        if let Some(fetch) = self.fetches.start_next(now, in_force) {
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

fn check_fetched(json: &[u8], announced: Version) -> Result<Content, Rejection> {
    let content = Content::from_json(json).map_err(Rejection::Malformed)?;
    let received = content.version();
    if received != announced {
        return Err(Rejection::NotAsAnnounced {
            announced,
            received,
        });
    }
    Ok(content)
}

/// Add the steps from the document in force to the next one: the fetched deltas, or one computed
/// patch.
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
