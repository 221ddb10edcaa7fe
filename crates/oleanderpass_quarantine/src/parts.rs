//! Find the parts of prompts that crash backend servers.
//!
//! Requests that are otherwise different may crash their servers by a part that their prompts have
//! in common. A server crashes soon after it has begun to write the answer, so the suspects of a
//! crash are the shared parts of the requests whose answers had not begun or had just begun. A
//! request whose answer goes on clears its parts of all crashes before its start.
//!
//! Harmless parts are suspects of many crashes too, because their requests wait on the same servers
//! and are retried on the next ones. They are told apart in two ways: a crash that a refused part
//! explains does not count against other parts, and a refused part is tried again at intervals that
//! grow with each trial that ends in a crash.

use std::cmp::Reverse;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::PromptPartId;

use crate::evidence::EVIDENCE_LIFETIME;
use crate::evidence::Signature;
use crate::part_evidence::CRASHES_BEFORE_REFUSED;
use crate::part_evidence::PartEvidence;
use crate::part_evidence::Refusal;
use crate::part_evidence::count_groups;
use crate::part_report::CrashReport;
use crate::part_report::HarmlessReport;
use crate::part_report::PartReports;
use crate::part_report::RefusalReport;
use crate::part_report::ServerRun;
use crate::part_report::Suspect;

/// The time after its first event until which an answer still counts as just begun.
pub const START_TIME: Millis = Millis::new(300);

/// The number of arrivals of events until which an answer still counts as just begun, because a
/// pass of a busy engine may take longer than [`START_TIME`].
pub const START_ARRIVALS: u32 = 3;

/// The time until a crash counts. Within it, requests that start elsewhere clear harmless parts,
/// and all evidence of the crash arrives.
const SETTLING_TIME: Millis = Millis::new(800);

/// The interval between trials of a part while all its crashes came together or in one or two
/// groups.
const FIRST_TRIAL_INTERVAL: Millis = Millis::new(500);

/// The time until the first trial of a part with more crashes, and the factor by which it grows with
/// each failed trial.
const TRIAL_INTERVAL: Millis = Millis::from_secs(10);
const TRIAL_INTERVAL_FACTOR: u64 = 4;

/// The same for a part of which an answer was written before.
const KNOWN_TRIAL_INTERVAL: Millis = Millis::from_secs(1);
const KNOWN_TRIAL_INTERVAL_FACTOR: u64 = 2;

/// The time for which a peer's report of a refused part holds. Peers repeat it in each bulletin, and
/// stop when further evidence contradicts it.
const REPORT_LIFETIME: Millis = Millis::from_secs(2);

/// The time for which a part is known to be harmless after the start of its last answer.
const HARMLESS_LIFETIME: Millis = Millis::from_secs(60);

/// The most crashes that are kept.
const MAX_CRASHES: usize = 256;

/// The most suspects of one crash that are kept.
const MAX_SUSPECTS: usize = 64;

/// The most parts that are known to be harmless.
const MAX_HARMLESS: usize = 4_096;

/// The most crashes in one bulletin, suspects of each, harmless parts, and refused parts.
const MAX_CRASHES_PER_BULLETIN: usize = 3;
const MAX_SUSPECTS_PER_CRASH: usize = 8;
const MAX_HARMLESS_PER_BULLETIN: usize = 8;
const MAX_REFUSED_PER_BULLETIN: usize = 8;

/// The number of latest crashes that are sent again when a peer appears.
const CRASHES_FOR_NEW_PEER: usize = 8;

/// Whether a request may be sent, judged by the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartRule {
    /// None of its parts is refused.
    Allowed,
    /// This part is refused, and a trial of it is due.
    TrialDue(PromptPartId),
    /// This part is refused.
    Refused(PromptPartId),
}

#[derive(Clone, Debug)]
struct Crash {
    at: Timestamp,
    suspects: IndexMap<PromptPartId, SuspectState>,
    /// The number of times that the crash was sent to peers without suspects.
    sent: u32,
}

#[derive(Clone, Copy, Debug)]
struct SuspectState {
    request: Signature,
    /// The number of times that the suspect was sent to peers.
    sent: u32,
}

/// An answer to a prompt with some part that went on after its start.
#[derive(Clone, Copy, Debug)]
struct Harmless {
    started: Timestamp,
    /// The number of times that this was sent to peers. `None` if no peer needs to know.
    sent: Option<u32>,
}

/// The trials of a refused part.
#[derive(Clone, Copy, Debug, Default)]
struct Trials {
    /// When this instance last sent one.
    last: Option<Timestamp>,
    /// How many ended in a crash, at any instance. The last one is not counted yet.
    failed: u32,
}

/// The suspects and refused parts as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: IndexMap<ServerRun, Crash>,
    /// The crashes of each suspect.
    suspects: IndexMap<PromptPartId, IndexSet<ServerRun>>,
    harmless: IndexMap<PromptPartId, Harmless>,
    /// Refused parts that peers reported, and when.
    reported: IndexMap<PromptPartId, (Refusal, Timestamp)>,
    refused: IndexMap<PromptPartId, Refusal>,
    trials: IndexMap<PromptPartId, Trials>,
    /// Whether evidence changed since `refused` was decided.
    changed: bool,
}

impl PartQuarantine {
    /// Return whether a request with these parts may be sent. `runs_trials` tells whether this
    /// instance is the one that tries a part again.
    pub fn rule(
        &self,
        now: Timestamp,
        parts: &[PromptPartId],
        runs_trials: impl Fn(PromptPartId) -> bool,
    ) -> PartRule {
        let mut refused = parts
            .iter()
            .filter_map(|part| Some((*part, self.refused.get(part)?)));
        let Some((part, refusal)) = refused.next() else {
            return PartRule::Allowed;
        };
        let last_trial = self.trials.get(&part).and_then(|trials| trials.last);
        let last_try = last_trial.map_or(refusal.last_crash, |at| refusal.last_crash.max(at));
        let trial_due = now.since(last_try) >= self.trial_interval(part, refusal);
        if trial_due && refused.next().is_none() && runs_trials(part) {
            PartRule::TrialDue(part)
        } else {
            PartRule::Refused(part)
        }
    }

    /// Return whether one of these parts is refused.
    pub fn refuses(&self, parts: &[PromptPartId]) -> bool {
        parts.iter().any(|part| self.refused.contains_key(part))
    }

    /// Return the refused parts, each with the time of its last crash.
    pub fn refused(&self) -> impl Iterator<Item = (PromptPartId, Timestamp)> {
        let refused = self.refused.iter();
        refused.map(|(part, refusal)| (*part, refusal.last_crash))
    }

    /// Record that a request with a refused part is sent as a trial.
    pub fn on_trial(&mut self, now: Timestamp, part: PromptPartId) {
        let failed = self.failed_trials(part);
        let last = Some(now);
        self.trials.insert(part, Trials { last, failed });
    }

    /// Return the number of trials of a part that ended in a crash.
    fn failed_trials(&self, part: PromptPartId) -> u32 {
        let Some(trials) = self.trials.get(&part) else {
            return 0;
        };
        let last_crash = self.refused.get(&part).map(|refusal| refusal.last_crash);
        let last_failed = trials.last.is_some_and(|last| Some(last) <= last_crash);
        trials.failed + u32::from(last_failed)
    }

    /// Return the time from the last crash or trial of a refused part to its next trial.
    fn trial_interval(&self, part: PromptPartId, refusal: &Refusal) -> Millis {
        if (refusal.crashes as usize) < CRASHES_BEFORE_REFUSED {
            return FIRST_TRIAL_INTERVAL;
        }
        let (first, factor) = if refusal.was_harmless {
            (KNOWN_TRIAL_INTERVAL, KNOWN_TRIAL_INTERVAL_FACTOR)
        } else {
            (TRIAL_INTERVAL, TRIAL_INTERVAL_FACTOR)
        };
        let failed = self.failed_trials(part);
        first
            .saturating_mul(factor.saturating_pow(failed))
            .min(EVIDENCE_LIFETIME)
    }

    /// Record a crash that this instance has seen, or further suspects of a known one. Crashes
    /// without suspects count too, because they show that no part is their cause.
    pub fn on_crash(
        &mut self,
        now: Timestamp,
        server: ServerRun,
        age: Millis,
        suspects: impl IntoIterator<Item = Suspect>,
    ) {
        self.record_crash(now, server, age, suspects, 0);
    }

    /// Record suspects of a crash that peers were told of `sent` times.
    fn record_crash(
        &mut self,
        now: Timestamp,
        server: ServerRun,
        age: Millis,
        suspects: impl IntoIterator<Item = Suspect>,
        sent: u32,
    ) {
        if age >= EVIDENCE_LIFETIME {
            return;
        }
        let crash = self.crashes.entry(server).or_insert_with(|| Crash {
            at: now - age,
            suspects: IndexMap::new(),
            sent,
        });
        for Suspect { part, request } in suspects {
            if let Some(harmless) = self.harmless.get_mut(&part)
                && harmless.started > crash.at
            {
                // The peer that reports the crash may not know.
                harmless.sent = Some(0);
                continue;
            }
            if crash.suspects.len() < MAX_SUSPECTS && !crash.suspects.contains_key(&part) {
                crash.suspects.insert(part, SuspectState { request, sent });
                self.suspects.entry(part).or_default().insert(server);
                self.changed = true;
            }
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(server) = oldest.map(|(server, _)| *server) else {
                break;
            };
            self.remove_crash(server);
        }
    }

    /// Record that an answer to a prompt with these parts went on after its start at `started`.
    /// Return whether that clears a suspect.
    pub fn on_harmless(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        parts: &[PromptPartId],
    ) -> bool {
        let mut cleared = false;
        for part in parts {
            let clears = self.clear(*part, started);
            self.record_harmless(*part, started, clears);
            cleared |= clears;
        }
        self.update_if_changed(now);
        cleared
    }

    /// Record that a part is harmless. With `announce`, peers are told.
    fn record_harmless(&mut self, part: PromptPartId, started: Timestamp, announce: bool) {
        let is_full = self.harmless.len() >= MAX_HARMLESS;
        match self.harmless.get_mut(&part) {
            Some(harmless) => {
                harmless.started = harmless.started.max(started);
                if announce {
                    harmless.sent = Some(0);
                }
            }
            None if !is_full => {
                let sent = announce.then_some(0);
                self.harmless.insert(part, Harmless { started, sent });
            }
            None => {}
        }
    }

    /// Remove the evidence of crashes before `started` against a part. Return whether there was
    /// any.
    fn clear(&mut self, part: PromptPartId, started: Timestamp) -> bool {
        let mut cleared = false;
        if let Some(servers) = self.suspects.get_mut(&part) {
            let before = servers.len();
            let crashes = &mut self.crashes;
            servers.retain(|server| {
                let cleared = crashes
                    .get_mut(server)
                    .filter(|crash| crash.at < started)
                    .and_then(|crash| crash.suspects.shift_remove(&part));
                cleared.is_none()
            });
            cleared = servers.len() < before;
            if servers.is_empty() {
                self.suspects.swap_remove(&part);
            }
        }
        let reported = self.reported.get(&part);
        if reported.is_some_and(|(refusal, _)| refusal.last_crash < started) {
            self.reported.swap_remove(&part);
            cleared = true;
        }
        self.changed |= cleared;
        cleared
    }

    /// Apply what a peer reports.
    pub fn on_reports(&mut self, now: Timestamp, reports: &PartReports) {
        for report in &reports.harmless {
            let started = now - report.age;
            self.clear(report.part, started);
            self.record_harmless(report.part, started, false);
        }
        for report in &reports.crashes {
            let suspects = report.suspects.iter().copied();
            self.record_crash(now, report.server, report.age, suspects, 1);
        }
        for report in &reports.refused {
            self.on_reported_refusal(now, report);
        }
        self.update_if_changed(now);
    }

    fn update_if_changed(&mut self, now: Timestamp) {
        if self.changed {
            self.update(now);
        }
    }

    fn on_reported_refusal(&mut self, now: Timestamp, report: &RefusalReport) {
        let last_crash = now - report.age;
        if let Some(harmless) = self.harmless.get_mut(&report.part) {
            let is_cleared = harmless.started > last_crash;
            if is_cleared || !report.was_harmless {
                // The peer doesn't know.
                harmless.sent = Some(0);
            }
            if is_cleared {
                return;
            }
        }
        let trials = self.trials.entry(report.part).or_default();
        trials.failed = trials.failed.max(report.failed_trials);
        let mut refusal = Refusal {
            crashes: report.crashes,
            last_crash,
            was_harmless: report.was_harmless,
            own: false,
        };
        if let Some((known, _)) = self.reported.get(&report.part) {
            refusal.crashes = refusal.crashes.max(known.crashes);
            refusal.last_crash = refusal.last_crash.max(known.last_crash);
            refusal.was_harmless |= known.was_harmless;
        }
        self.changed |= !self.refused.contains_key(&report.part);
        self.reported.insert(report.part, (refusal, now));
    }

    /// Send the latest evidence again, because a peer has appeared that may not have it.
    pub fn on_new_peer(&mut self) {
        let mut times: Vec<Timestamp> = self.crashes.values().map(|crash| crash.at).collect();
        times.sort_unstable_by_key(|at| Reverse(*at));
        let Some(oldest) = times.get(CRASHES_FOR_NEW_PEER - 1).or(times.last()) else {
            return;
        };
        for crash in self.crashes.values_mut().filter(|c| c.at >= *oldest) {
            for suspect in crash.suspects.values_mut() {
                suspect.sent = suspect.sent.min(1);
            }
        }
    }

    /// Return what to send with the next bulletin, and count it as sent. Crashes and harmless parts
    /// are sent `repeats` times each, refused parts always.
    pub fn next_reports(&mut self, now: Timestamp, repeats: u32) -> PartReports {
        let crashes = self.next_crashes(now, repeats);
        let harmless = self.harmless.iter_mut().filter_map(|(part, harmless)| {
            let sent = harmless.sent.as_mut().filter(|sent| **sent < repeats)?;
            *sent += 1;
            Some(HarmlessReport {
                part: *part,
                age: now.since(harmless.started),
            })
        });
        let harmless = harmless.take(MAX_HARMLESS_PER_BULLETIN).collect();
        let mut refused: Vec<RefusalReport> = self
            .refused
            .iter()
            .filter(|(_, refusal)| refusal.own)
            .map(|(part, refusal)| RefusalReport {
                part: *part,
                crashes: refusal.crashes,
                age: now.since(refusal.last_crash),
                was_harmless: refusal.was_harmless,
                failed_trials: self.failed_trials(*part),
            })
            .collect();
        refused.sort_unstable_by_key(|report| report.age);
        refused.truncate(MAX_REFUSED_PER_BULLETIN);
        PartReports {
            crashes,
            harmless,
            refused,
        }
    }

    /// Return whether there is evidence that was not sent to peers yet.
    pub fn has_unsent(&self) -> bool {
        self.crashes
            .values()
            .any(|crash| crash.suspects.values().any(|suspect| suspect.sent == 0))
    }

    /// Return the crashes for the next bulletin: those sent least often first, and of these the
    /// latest. Of one crash, the suspects of most crashes come first.
    fn next_crashes(&mut self, now: Timestamp, repeats: u32) -> Vec<CrashReport> {
        let mut due: Vec<(u32, Reverse<Timestamp>, ServerRun)> = self
            .crashes
            .iter()
            .filter_map(|(server, crash)| {
                let sent = crash.suspects.values().map(|suspect| suspect.sent).min();
                let sent = sent.unwrap_or(crash.sent);
                (sent < repeats).then_some((sent, Reverse(crash.at), *server))
            })
            .collect();
        due.sort_unstable();
        due.truncate(MAX_CRASHES_PER_BULLETIN);
        let suspects_by_part = &self.suspects;
        let crash_count = |part: &PromptPartId| suspects_by_part.get(part).map_or(0, IndexSet::len);
        let mut reports = Vec::new();
        for (least, _, server) in due {
            let Some(crash) = self.crashes.get_mut(&server) else {
                continue;
            };
            let mut parts: Vec<PromptPartId> = crash
                .suspects
                .iter()
                .filter(|(_, suspect)| suspect.sent == least)
                .map(|(part, _)| *part)
                .collect();
            parts.sort_by_key(|part| Reverse(crash_count(part)));
            parts.truncate(MAX_SUSPECTS_PER_CRASH);
            let suspects = parts.iter().filter_map(|part| {
                let suspect = crash.suspects.get_mut(part)?;
                suspect.sent += 1;
                let request = suspect.request;
                Some(Suspect {
                    part: *part,
                    request,
                })
            });
            let suspects: Vec<Suspect> = suspects.collect();
            crash.sent += u32::from(suspects.is_empty());
            reports.push(CrashReport {
                server,
                suspects,
                age: now.since(crash.at),
            });
        }
        reports
    }

    /// Drop expired evidence and decide anew which parts are refused.
    pub fn tick(&mut self, now: Timestamp) {
        let expired: Vec<ServerRun> = self
            .crashes
            .iter()
            .filter(|(_, crash)| now.since(crash.at) >= EVIDENCE_LIFETIME)
            .map(|(server, _)| *server)
            .collect();
        for server in expired {
            self.remove_crash(server);
        }
        self.harmless
            .retain(|_, harmless| now.since(harmless.started) < HARMLESS_LIFETIME);
        self.reported.retain(|_, (refusal, heard)| {
            now.since(*heard) < REPORT_LIFETIME && now.since(refusal.last_crash) < EVIDENCE_LIFETIME
        });
        if !(self.suspects.is_empty() && self.refused.is_empty() && self.reported.is_empty()) {
            self.update(now);
        }
    }

    fn remove_crash(&mut self, server: ServerRun) {
        let Some(crash) = self.crashes.shift_remove(&server) else {
            return;
        };
        for part in crash.suspects.keys() {
            if let Some(servers) = self.suspects.get_mut(part) {
                servers.shift_remove(&server);
                if servers.is_empty() {
                    self.suspects.swap_remove(part);
                }
            }
        }
    }

    /// Decide which parts are refused, by own evidence and by the reports of peers.
    fn update(&mut self, now: Timestamp) {
        self.changed = false;
        let mut refused = self.refused_by_evidence(now);
        for (part, (reported, _)) in &self.reported {
            let refusal = refused.entry(*part).or_insert(*reported);
            // Own evidence has the exact time of the last crash. A reported one is later by the
            // delay of the report.
            refusal.crashes = refusal.crashes.max(reported.crashes);
            refusal.was_harmless |= reported.was_harmless;
        }
        for (part, refusal) in &refused {
            if !self.refused.contains_key(part) {
                tracing::warn!(
                    %part,
                    crashes = refusal.crashes,
                    last_crash_ms = now.since(refusal.last_crash).get(),
                    own_evidence = refusal.own,
                    was_harmless = refusal.was_harmless,
                    "requests with a prompt part that crashes backend servers are refused"
                );
            }
        }
        for part in self
            .refused
            .keys()
            .filter(|part| !refused.contains_key(*part))
        {
            tracing::warn!(%part, "requests with a prompt part are no longer refused");
        }
        self.refused = refused;
        self.trials
            .retain(|part, _| self.refused.contains_key(part));
    }

    /// Return the parts that are refused by own evidence: the one with the most crashes first, and
    /// then those that have enough crashes which no part before them explains. A part of which an
    /// answer was written before comes last. Of parts that always came together, the one further
    /// back in the prompt comes first, because fewer other prompts have it.
    fn refused_by_evidence(&self, now: Timestamp) -> IndexMap<PromptPartId, Refusal> {
        let mut refused = IndexMap::new();
        let mut explained: IndexSet<ServerRun> = IndexSet::new();
        loop {
            let open = self
                .suspects
                .iter()
                .filter(|(part, _)| !refused.contains_key(*part));
            let worst = open
                .filter_map(|(part, servers)| {
                    let evidence = self.evidence(now, *part, servers, &explained)?;
                    let refusal = evidence.refusal;
                    let position = self.position(*part, servers);
                    let rank = (!refusal.was_harmless, evidence.settled, position, *part);
                    let suffices = evidence.suffices(!refused.is_empty());
                    suffices.then_some((rank, refusal))
                })
                .max_by_key(|(rank, _)| *rank);
            let Some(((.., part), refusal)) = worst else {
                return refused;
            };
            refused.insert(part, refusal);
            explained.extend(self.suspects.get(&part).into_iter().flatten());
        }
    }

    /// Return the position of a part among the suspects of its first crash, which are in the order
    /// of their prompts.
    fn position(&self, part: PromptPartId, servers: &IndexSet<ServerRun>) -> Option<usize> {
        let crash = self.crashes.get(servers.first()?)?;
        crash.suspects.get_index_of(&part)
    }

    /// Return the evidence against a part that is a suspect of the crashes of these servers, apart
    /// from `explained` ones. `None` if there is no other.
    fn evidence(
        &self,
        now: Timestamp,
        part: PromptPartId,
        servers: &IndexSet<ServerRun>,
        explained: &IndexSet<ServerRun>,
    ) -> Option<PartEvidence> {
        let unexplained = |server: &&ServerRun| !explained.contains(*server);
        let crashes = || {
            let servers = servers.iter().filter(unexplained);
            servers.filter_map(|server| self.crashes.get(server))
        };
        let mut times: Vec<Timestamp> = crashes().map(|crash| crash.at).collect();
        times.sort_unstable();
        let (first, last) = (*times.first()?, *times.last()?);
        let settled = times.iter().filter(|at| now.since(**at) >= SETTLING_TIME);
        let requests: IndexSet<Signature> = crashes()
            .filter_map(|crash| Some(crash.suspects.get(&part)?.request))
            .collect();
        let in_span = self
            .crashes
            .iter()
            .filter(|(server, crash)| unexplained(server) && crash.at >= first && crash.at <= last);
        Some(PartEvidence {
            settled: settled.count(),
            requests: requests.len(),
            percent: times.len() * 100 / in_span.count().max(1),
            refusal: Refusal {
                crashes: count_groups(&times),
                last_crash: last,
                was_harmless: self.harmless.contains_key(&part),
                own: true,
            },
        })
    }
}
