//! Check from outside that an instance starts and gets ready whatever is around it, or says why not:
//! one row for each line of the tables in `docs/design/starts-and-readiness.md` that can be played
//! on any machine.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "starts/driver.rs"]
mod driver;

use oleanderpass_platform_stand_in::store::Mode;
use test_case::test_case;

use crate::driver::Change;
use crate::driver::Change::Configuration;
use crate::driver::Change::NoStore;
use crate::driver::Change::Store;
use crate::driver::READINESS_PORT;
use crate::driver::Start;

/// Guards against an instance that isn't ready and doesn't say what it lacks, and against one that
/// isn't ready once it has that.
#[test_case(1, &[NoStore], &["no_configuration", "server_list_incomplete", "Connection refused"]; "store refuses connections")]
#[test_case(2, &[Store(Mode::Silent)], &["no_configuration", "no answer in time"]; "store is silent")]
#[test_case(3, &[Store(Mode::Busy)], &["no_configuration", "the store answered 503"]; "store is busy")]
#[test_case(4, &[Store(Mode::Reset)], &["no_configuration", "connection closed"]; "store closes connections")]
#[test_case(5, &[Configuration(None)], &["no_configuration", "the store has no item op/config"]; "no configuration")]
#[test_case(6, &[Configuration(Some(b"{\"Version\":1"))], &["no_configuration", "the configuration in the store is invalid"]; "configuration is cut off")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_says_what_it_lacks(number: u8, changes: &[Change], texts: &[&str]) {
    let mut start = Start::new(number, changes).await;
    start.wait_for(READINESS_PORT, false, texts).await;
    start.mend().await;
    start.wait_for(READINESS_PORT, true, &[]).await;
    for line in ["the instance is ready", "last_error"] {
        assert!(start.output().contains(line), "{}", start.output());
    }
}
