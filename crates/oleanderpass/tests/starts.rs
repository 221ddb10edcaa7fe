//! Check from outside that an instance starts and gets ready whatever is around it, or says why not:
//! one row for each line of the tables in `docs/design/starts-and-readiness.md` that can be played
//! on any machine.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "starts/driver.rs"]
mod driver;

use std::time::Duration;

use oleanderpass_platform_stand_in::store::Mode;
use rustix::process::Signal;
use test_case::test_case;

use crate::driver::CALLER_PORT;
use crate::driver::Change;
use crate::driver::Change::Configuration;
use crate::driver::Change::CutSettings;
use crate::driver::Change::Fill;
use crate::driver::Change::HoldTcp;
use crate::driver::Change::HoldUdp;
use crate::driver::Change::NoSettings;
use crate::driver::Change::NoStore;
use crate::driver::Change::Replace;
use crate::driver::Change::Shell;
use crate::driver::Change::Store;
use crate::driver::Change::Template;
use crate::driver::LIMIT;
use crate::driver::METRICS_PORT;
use crate::driver::PEER_PORT;
use crate::driver::READINESS_PORT;
use crate::driver::STOP_TIME;
use crate::driver::Start;

/// An address that no machine has, because it is reserved for documentation (RFC 5737).
const FOREIGN_ADDR: Change = Fill("Listen.Frontend", "192.0.2.1:8227");

/// The exit code of a process that can't use its settings. Source: `docs/OPERATIONS.md`.
const EX_CONFIG: i32 = 78;

/// Guards against an instance that isn't ready and doesn't say what it lacks, and against one that
/// isn't ready once it has that.
#[test_case(1, &[NoStore], &["no_configuration", "server_list_incomplete", "Connection refused"]; "store refuses connections")]
#[test_case(2, &[Store(Mode::Silent)], &["no_configuration", "no answer in time"]; "store is silent")]
#[test_case(3, &[Store(Mode::Busy)], &["no_configuration", "the store answered 503"]; "store is busy")]
#[test_case(4, &[Store(Mode::Reset)], &["no_configuration", "connection closed"]; "store closes connections")]
#[test_case(5, &[Configuration(None)], &["no_configuration", "the store has no item op/config"]; "no configuration")]
#[test_case(6, &[Configuration(Some(b"{\"Version\":1"))], &["no_configuration", "the configuration in the store is invalid"]; "configuration is cut off")]
#[test_case(7, &[HoldTcp(CALLER_PORT)], &["caller_address_closed", ":8227: bind: Address already in use"]; "address for callers in use")]
#[test_case(8, &[HoldTcp(READINESS_PORT)], &["readiness_address_closed", ":8220: bind: Address already in use"]; "readiness address in use")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_says_what_it_lacks(number: u8, changes: &[Change], texts: &[&str]) {
    let mut start = Start::new(number, changes).await;
    start.wait_for(METRICS_PORT, false, texts).await;
    start.mend().await;
    start.wait_for(READINESS_PORT, true, &[]).await;
    for line in ["the instance is ready", "last_error"] {
        assert!(start.output().contains(line), "{}", start.output());
    }
}

/// Guards against an instance that doesn't serve because of something that serving doesn't need, and
/// against one that does without it for good.
#[test_case(11, HoldTcp(METRICS_PORT), "metrics_address_closed"; "metrics address in use")]
#[test_case(12, HoldTcp(PEER_PORT), "peer_address_closed"; "peer address in use")]
#[test_case(13, HoldUdp, "peer_socket_closed"; "port for datagrams in use")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_serves_without(number: u8, change: Change, reason: &str) {
    let mut start = Start::new(number, &[change]).await;
    let degraded = format!("degraded: {reason} for");
    start.wait_for(READINESS_PORT, true, &[&degraded]).await;
    let build = concat!("build: ", env!("CARGO_PKG_VERSION"), " (");
    start.wait_for_page(READINESS_PORT, "/status", build).await;
    start.mend().await;
    let gauge = format!("oleanderpass_lacks{{reason=\"{reason}\"}} 0");
    start.wait_for_page(METRICS_PORT, "/metrics", &gauge).await;
    start.wait_for(READINESS_PORT, true, &[]).await;
}

/// Guards against an instance that doesn't get ready because of its template, an empty or odd field,
/// its environment or the manner in which the store answers.
#[test_case(21, &[]; "as the review fills the template in")]
#[test_case(22, &[Template(include_str!("templates/gateway-1.yaml"))]; "template 1")]
#[test_case(23, &[Template(include_str!("templates/gateway-2.yaml"))]; "template 2")]
#[test_case(24, &[Template(include_str!("templates/gateway-3.yaml"))]; "template 3")]
#[test_case(25, &[Template(include_str!("templates/gateway-4.yaml"))]; "template 4")]
#[test_case(26, &[Template(include_str!("templates/gateway-5.yaml"))]; "template 5")]
#[test_case(27, &[Fill("SeedNodes", "")]; "no seeds")]
#[test_case(28, &[Fill("SeedNodes", "127.74.1.1:8229,IP:8229")]; "seeds are nobody and the instance")]
#[test_case(29, &[Fill("Zones|json", "")]; "no regions")]
#[test_case(30, &[Fill("Bounds.GraceS", ""), Fill("Bounds.RetryBudgetRatio", ""), Fill("Bounds.RetrySlack", ""), Fill("Bounds.HoldMaxMs", ""), Fill("Limits.MemoryMb", ""), Fill("Limits.MaxFds", "")]; "no bounds and limits")]
#[test_case(36, &[Fill("Bounds.GraceS", "8.0"), Fill("Bounds.HoldMaxMs", "20000.5"), Fill("Bounds.EvacuateMs", "5000.0")]; "bounds as fractions")]
#[test_case(31, &[Shell("ulimit -n 64")]; "few descriptors")]
#[test_case(32, &[Shell("ulimit -v 600000")]; "little address space")]
#[test_case(33, &[Shell("exec <&- >&- 2>&-")]; "no standard streams")]
#[test_case(34, &[Shell("unset HOME PATH; export LANG=xx TZ=Nowhere/None TMPDIR=/nonexistent")]; "odd environment")]
#[test_case(35, &[Shell("export http_proxy=http://127.0.0.1:1 ALL_PROXY=http://127.0.0.1:1")]; "proxies")]
#[test_case(41, &[Shell("export OLEANDERPASS_LOG=info,=[")]; "invalid filter of the log")]
#[test_case(37, &[Store(Mode::Late(Duration::from_secs(3)))]; "store is slow")]
#[test_case(38, &[Store(Mode::Pieces)]; "store answers in pieces")]
#[test_case(39, &[Store(Mode::CloseEach)]; "store closes after each answer")]
#[test_case(40, &[Store(Mode::Unfamiliar)]; "store has unfamiliar answers")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_gets_ready(number: u8, changes: &[Change]) {
    let mut start = Start::new(number, changes).await;
    start.wait_for(READINESS_PORT, true, &[]).await;
}

/// Guards against a process that ignores a signal while it waits for what it lacks.
#[test_case(71, &[FOREIGN_ADDR], "caller_address_closed"; "address for callers isn't assigned")]
#[test_case(72, &[HoldTcp(READINESS_PORT)], "readiness_address_closed"; "readiness address in use")]
#[test_case(73, &[Store(Mode::Silent)], "no_configuration"; "store is silent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn signal_ends_an_instance_that_waits(number: u8, changes: &[Change], reason: &str) {
    let mut start = Start::new(number, changes).await;
    start.wait_for(METRICS_PORT, false, &[reason]).await;
    start.signal(Signal::HUP);
    start.wait_for(METRICS_PORT, false, &[reason]).await;
    start.signal(Signal::TERM);
    start.wait_for(METRICS_PORT, false, &["draining"]).await;
    let status = start.wait_for_end(STOP_TIME).await;
    assert!(status.success(), "{status}\n{}", start.output());
}

/// Guards against a start that fails without a line that names the cause, or that hangs.
#[test_case(51, &[NoSettings], &["settings.yaml", "No such file"]; "no settings")]
#[test_case(52, &[CutSettings(0)], &["settings.yaml", "instance"]; "empty settings")]
#[test_case(53, &[CutSettings(150)], &["settings.yaml"]; "settings end in the middle")]
#[test_case(54, &[Fill("NodeName", "")], &["instance"]; "no name")]
#[test_case(55, &[Fill("Ip", "")], &["ip"]; "no address")]
#[test_case(56, &[Fill("Listen.Frontend", "")], &["caller_addr"]; "no address for callers")]
#[test_case(57, &[Fill("Listen.Ready", "IP")], &["readiness_addr"]; "readiness address without a port")]
#[test_case(58, &[Fill("Platform.Address", "store:8223")], &["store_addr"]; "store by name")]
#[test_case(59, &[Fill("InternalPorts.0", "70000")], &["peer_port"]; "port out of range")]
#[test_case(60, &[Replace("zone:", "area:")], &["zone"]; "misspelled key")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_that_fails_names_the_cause(number: u8, changes: &[Change], texts: &[&str]) {
    let mut start = Start::new(number, changes).await;
    let status = start.wait_for_end(LIMIT).await;
    let errors = start.errors();
    println!("{errors}");
    assert_eq!(status.code(), Some(EX_CONFIG));
    assert_eq!(errors.lines().count(), 1, "{errors}");
    for text in texts {
        assert!(errors.contains(text), "{errors}");
    }
}

/// Guards against bounds that fall back to their defaults because the settings are read while they
/// are written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_of_incomplete_settings_changes_nothing() {
    let mut start = Start::new(81, &[]).await;
    start.wait_for(READINESS_PORT, true, &[]).await;
    start.cut_settings("retry_slack:");
    start.signal(Signal::HUP);
    let texts = ["retry_slack: missing or empty", "the ones in force stay"];
    start.wait_for_output(&texts).await;
}
