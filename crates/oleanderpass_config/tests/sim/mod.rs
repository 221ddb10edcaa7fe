//! Run several distribution state machines with a model of the platform and of the probes.
#![allow(dead_code, reason = "each test file uses a part")]

use oleanderpass_config::distribution::Distribution;
use oleanderpass_config::distribution::Input;
use oleanderpass_config::distribution::Output;
use oleanderpass_config::version::Version;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_proto::peer::FetchDocumentRequest;
use oleanderpass_proto::peer::FetchDocumentResponse;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

/// The step of simulated time: one tick of each instance.
const STEP_MS: u64 = 100;

pub(crate) struct Node {
    pub(crate) distribution: Distribution,
    pub(crate) running: bool,
    pub(crate) outputs: Vec<(u64, Output)>,
    pub(crate) whole_fetches: usize,
    pub(crate) delta_fetches: usize,
    /// What the platform shows to this instance; `None` when it can't be reached.
    pub(crate) platform: Option<(u64, String)>,
    read: Option<(u64, u64)>,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The availability zones; the smaller deployments have 3.
    pub(crate) zones: usize,
    round: u64,
}

pub(crate) fn id(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

/// Write a valid document, large enough that a few deltas are smaller.
pub(crate) fn text(generation: u64, content: &str) -> String {
    let organisations: String = (0..20)
        .map(|number| format!("  - {{id: organisation-{number}, class: small}}\n"))
        .collect();
    format!(
        "generation: {generation}\nenvironment: {{name: {content}, zones: [a, b, c]}}\n\
         organisations:\n{organisations}"
    )
}

impl Fleet {
    pub(crate) fn new(size: usize) -> Self {
        let mut fleet = Self {
            now: 0,
            nodes: Vec::new(),
            cut: Box::new(|_, _| false),
            zones: 3,
            round: 0,
        };
        for index in 0..size {
            let node = fleet.node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&self, index: usize) -> Node {
        let now = Timestamp::from_millis(self.now);
        Node {
            distribution: Distribution::new(now, id(index)),
            running: true,
            outputs: Vec::new(),
            whole_fetches: 0,
            delta_fetches: 0,
            platform: None,
            read: None,
        }
    }

    pub(crate) fn restart(&mut self, index: usize, platform: Option<(u64, String)>) {
        self.nodes[index] = self.node(index);
        self.nodes[index].platform = platform;
    }

    /// Show a document to some instances.
    pub(crate) fn promote(
        &mut self,
        to: impl IntoIterator<Item = usize>,
        generation: u64,
        text: &str,
    ) {
        for index in to {
            self.nodes[index].platform = Some((generation, text.to_owned()));
        }
    }

    pub(crate) fn input(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = Timestamp::from_millis(self.now);
        self.nodes[index].distribution.handle(now, input, &mut out);
        for output in out {
            self.carry_out(index, &output);
            self.nodes[index].outputs.push((self.now, output));
        }
    }

    fn carry_out(&mut self, index: usize, output: &Output) {
        match output {
            Output::Read(read) => {
                self.nodes[index].read = Some((read.after.get(), self.now + read.wait.get()));
            }
            Output::Fetch { peer, held, wanted } => self.fetch(index, peer, *held, *wanted),
            Output::Announce => {
                for peer in 0..self.nodes.len() {
                    if self.nodes[peer].distribution.is_reader() {
                        self.probe(index, peer);
                    }
                }
            }
            _ => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let running = self.nodes[from].running && self.nodes[to].running;
        from != to && running && !(self.cut)(from, to)
    }

    fn fetch(&mut self, index: usize, peer: &InstanceId, held: Option<Version>, wanted: Version) {
        let from = (0..self.nodes.len())
            .find(|from| id(*from) == *peer)
            .unwrap();
        let req = FetchDocumentRequest {
            held: held.map(|held| held.to_message(false)),
            wanted: Some(wanted.to_message(false)),
            ..FetchDocumentRequest::default()
        };
        let answer = self.nodes[from].distribution.answer_fetch(&req);
        match answer.filter(|_| self.reaches(from, index)) {
            Some(answer) => {
                self.nodes[index].whole_fetches += usize::from(!answer.document.is_empty());
                self.nodes[index].delta_fetches += usize::from(!answer.deltas.is_empty());
                self.fetched(index, peer, &answer);
            }
            None => self.input(index, Input::FetchFailed(peer)),
        }
    }

    pub(crate) fn fetched(
        &mut self,
        index: usize,
        peer: &InstanceId,
        answer: &FetchDocumentResponse,
    ) {
        self.input(index, Input::Fetched { peer, answer });
    }

    fn tell(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) {
            return;
        }
        let distribution = &self.nodes[from].distribution;
        let in_force = distribution
            .in_force()
            .map(|version| version.to_message(false));
        let candidates = distribution.announced();
        self.hear(to, from, in_force.as_ref(), &candidates);
    }

    pub(crate) fn hear(
        &mut self,
        to: usize,
        from: usize,
        in_force: Option<&DocumentVersion>,
        candidates: &[DocumentVersion],
    ) {
        let peer = &id(from);
        self.input(
            to,
            Input::PeerVersions {
                peer,
                in_force,
                candidates,
            },
        );
    }

    fn probe(&mut self, from: usize, to: usize) {
        self.tell(from, to);
        self.tell(to, from);
    }

    fn read(&mut self, index: usize) {
        let Some((after, until)) = self.nodes[index].read else {
            return;
        };
        match self.nodes[index].platform.clone() {
            None => {
                self.nodes[index].read = None;
                self.input(index, Input::ReadFailed);
            }
            Some((generation, text)) if generation > after => {
                self.nodes[index].read = None;
                self.input(index, Input::Text(&text));
            }
            Some(_) if self.now >= until => {
                self.nodes[index].read = None;
                self.input(index, Input::Unchanged);
            }
            Some(_) => {}
        }
    }

    fn members(&mut self, index: usize) {
        let others: Vec<_> = (0..self.nodes.len())
            .filter(|other| self.reaches(*other, index))
            .collect();
        let all: Vec<_> = others.iter().map(|other| id(*other)).collect();
        let zone = others
            .iter()
            .filter(|other| *other % self.zones == index % self.zones);
        let zone: Vec<_> = zone.map(|other| id(*other)).collect();
        self.input(
            index,
            Input::Members {
                zone_peers: &zone,
                all_peers: &all,
            },
        );
    }

    /// Let time pass: each instance ticks every step and probes one other each second in turn.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        let size = self.nodes.len();
        while self.now < end {
            self.now += STEP_MS;
            self.round += 1;
            for index in 0..size {
                if !self.nodes[index].running {
                    continue;
                }
                // The view of the fleet lags by up to a second.
                if (self.round + index as u64).is_multiple_of(10) || self.round < 2 {
                    self.members(index);
                }
                self.read(index);
                self.input(index, Input::Tick);
                if size > 1 && (self.round + index as u64).is_multiple_of(10) {
                    let second = usize::try_from(self.round / 10).unwrap();
                    self.probe(index, (index + 1 + second % (size - 1)) % size);
                }
            }
        }
    }

    pub(crate) fn generation(&self, index: usize) -> Option<u64> {
        let version = self.nodes[index].distribution.in_force();
        version.map(|version| version.generation.get())
    }

    pub(crate) fn all_have(&self, generation: u64) -> bool {
        (0..self.nodes.len()).all(|index| self.generation(index) == Some(generation))
    }

    /// Return the time until all instances have a generation in force.
    pub(crate) fn time_until(&mut self, generation: u64, limit: Millis) -> u64 {
        let start = self.now;
        while !self.all_have(generation) {
            assert!(
                self.now - start < limit.get(),
                "generation {generation} isn't in force"
            );
            self.run(STEP_MS);
        }
        self.now - start
    }

    /// Check that no instance went back to a lower version.
    pub(crate) fn assert_never_reverted(&self) {
        for node in &self.nodes {
            let versions = node.outputs.iter().filter_map(|(_, output)| match output {
                Output::InForce(document) => Some((document.generation, document.digest)),
                _ => None,
            });
            assert!(versions.is_sorted());
        }
    }

    pub(crate) fn outputs(&self, index: usize, wanted: impl Fn(&Output) -> bool) -> usize {
        let outputs = self.nodes[index].outputs.iter();
        outputs.filter(|(_, output)| wanted(output)).count()
    }
}
