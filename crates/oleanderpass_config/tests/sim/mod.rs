//! Simulate a fleet of distribution state machines with a model of the platform and of the probes.
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

/// The step of simulated time, in milliseconds. Each instance ticks once in it.
const STEP_MS: u64 = 100;

pub(crate) struct SimInstance {
    pub(crate) distribution: Distribution,
    pub(crate) running: bool,
    /// All outputs with their times in milliseconds.
    pub(crate) outputs: Vec<(u64, Output)>,
    pub(crate) whole_fetches: usize,
    pub(crate) delta_fetches: usize,
    /// The generation and text that the platform returns to this instance; `None` when it can't be
    /// reached.
    pub(crate) platform: Option<(u64, String)>,
    /// The pending read: the generation to exceed, and the time when its wait ends.
    pending_read: Option<(u64, u64)>,
}

pub(crate) struct Fleet {
    /// The simulated time, in milliseconds.
    pub(crate) now: u64,
    pub(crate) instances: Vec<SimInstance>,
    /// Whether the first instance can't reach the second one.
    pub(crate) is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The number of availability zones: 3 as in smaller deployments, unless a test sets another.
    pub(crate) zones: usize,
    /// The number of steps so far.
    step: u64,
}

pub(crate) fn id(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

/// Return the text of a valid document. It is larger than a few deltas together, so that peers
/// answer a fetch with deltas. `content` becomes the name of the environment.
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
            instances: Vec::new(),
            is_cut: Box::new(|_, _| false),
            zones: 3,
            step: 0,
        };
        for index in 0..size {
            let instance = fleet.new_instance(index);
            fleet.instances.push(instance);
        }
        fleet
    }

    fn new_instance(&self, index: usize) -> SimInstance {
        let now = Timestamp::from_millis(self.now);
        SimInstance {
            distribution: Distribution::new(now, id(index)),
            running: true,
            outputs: Vec::new(),
            whole_fetches: 0,
            delta_fetches: 0,
            platform: None,
            pending_read: None,
        }
    }

    pub(crate) fn restart(&mut self, index: usize, platform: Option<(u64, String)>) {
        self.instances[index] = self.new_instance(index);
        self.instances[index].platform = platform;
    }

    /// Make the platform return a document to the instances `to`.
    pub(crate) fn promote(
        &mut self,
        to: impl IntoIterator<Item = usize>,
        generation: u64,
        text: &str,
    ) {
        for index in to {
            self.instances[index].platform = Some((generation, text.to_owned()));
        }
    }

    pub(crate) fn input(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = Timestamp::from_millis(self.now);
        self.instances[index]
            .distribution
            .handle(now, input, &mut out);
        for output in out {
            self.carry_out(index, &output);
            self.instances[index].outputs.push((self.now, output));
        }
    }

    fn carry_out(&mut self, index: usize, output: &Output) {
        match output {
            Output::Read(read) => {
                self.instances[index].pending_read =
                    Some((read.after.get(), self.now + read.wait.get()));
            }
            Output::Fetch { peer, held, wanted } => self.fetch(index, peer, *held, *wanted),
            Output::Announce => {
                for peer in 0..self.instances.len() {
                    if self.instances[peer].distribution.is_reader() {
                        self.probe(index, peer);
                    }
                }
            }
            _ => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let running = self.instances[from].running && self.instances[to].running;
        from != to && running && !(self.is_cut)(from, to)
    }

    fn fetch(&mut self, index: usize, peer: &InstanceId, held: Option<Version>, wanted: Version) {
        let from = (0..self.instances.len())
            .find(|from| id(*from) == *peer)
            .unwrap();
        let req = FetchDocumentRequest {
            held: held.map(|held| held.to_message(false)),
            wanted: Some(wanted.to_message(false)),
            ..FetchDocumentRequest::default()
        };
        let answer = self.instances[from].distribution.answer_fetch(&req);
        match answer.filter(|_| self.reaches(from, index)) {
            Some(answer) => {
                self.instances[index].whole_fetches += usize::from(!answer.document.is_empty());
                self.instances[index].delta_fetches += usize::from(!answer.deltas.is_empty());
                self.receive_fetch_answer(index, peer, &answer);
            }
            None => self.input(index, Input::FetchFailed(peer)),
        }
    }

    pub(crate) fn receive_fetch_answer(
        &mut self,
        index: usize,
        peer: &InstanceId,
        answer: &FetchDocumentResponse,
    ) {
        self.input(index, Input::Fetched { peer, answer });
    }

    fn send_versions(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) {
            return;
        }
        let distribution = &self.instances[from].distribution;
        let in_force = distribution
            .in_force()
            .map(|version| version.to_message(false));
        let candidates = distribution.announced();
        self.receive_versions(to, from, in_force.as_ref(), &candidates);
    }

    pub(crate) fn receive_versions(
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
        self.send_versions(from, to);
        self.send_versions(to, from);
    }

    /// Answer the pending read of an instance, unless it still waits for a higher generation.
    fn answer_read(&mut self, index: usize) {
        let Some((after, until)) = self.instances[index].pending_read else {
            return;
        };
        match self.instances[index].platform.clone() {
            None => {
                self.instances[index].pending_read = None;
                self.input(index, Input::ReadFailed);
            }
            Some((generation, text)) if generation > after => {
                self.instances[index].pending_read = None;
                self.input(index, Input::Text(&text));
            }
            Some(_) if self.now >= until => {
                self.instances[index].pending_read = None;
                self.input(index, Input::Unchanged);
            }
            Some(_) => {}
        }
    }

    fn update_members(&mut self, index: usize) {
        let others: Vec<_> = (0..self.instances.len())
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

    /// Advance the time by `ms`. Each instance ticks in every step and probes one other instance
    /// each second, in turn.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        let size = self.instances.len();
        while self.now < end {
            self.now += STEP_MS;
            self.step += 1;
            for index in 0..size {
                if !self.instances[index].running {
                    continue;
                }
                // The view of the fleet lags by up to a second.
                if (self.step + index as u64).is_multiple_of(10) || self.step < 2 {
                    self.update_members(index);
                }
                self.answer_read(index);
                self.input(index, Input::Tick);
                if size > 1 && (self.step + index as u64).is_multiple_of(10) {
                    let second = usize::try_from(self.step / 10).unwrap();
                    self.probe(index, (index + 1 + second % (size - 1)) % size);
                }
            }
        }
    }

    pub(crate) fn generation(&self, index: usize) -> Option<u64> {
        let version = self.instances[index].distribution.in_force();
        version.map(|version| version.generation.get())
    }

    pub(crate) fn all_have(&self, generation: u64) -> bool {
        (0..self.instances.len()).all(|index| self.generation(index) == Some(generation))
    }

    /// Run until all instances have a generation in force and return how long it took, in
    /// milliseconds. Fail if it takes longer than `limit`.
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

    /// Check that no instance replaced its document by one with a lower version.
    pub(crate) fn assert_never_reverted(&self) {
        for instance in &self.instances {
            let versions = instance
                .outputs
                .iter()
                .filter_map(|(_, output)| match output {
                    Output::InForce(document) => Some((document.generation, document.digest)),
                    _ => None,
                });
            assert!(versions.is_sorted());
        }
    }

    /// Count the outputs of an instance that meet a condition.
    pub(crate) fn count_outputs(&self, index: usize, wanted: impl Fn(&Output) -> bool) -> usize {
        let outputs = self.instances[index].outputs.iter();
        outputs.filter(|(_, output)| wanted(output)).count()
    }
}
