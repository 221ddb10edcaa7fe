//! Test the behaviour of the simulated plain service and platform that other tests rely on.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use oleanderpass_proto::platform::EntryInstance;
use oleanderpass_proto::platform::InstanceList;
use oleanderpass_stand_in::client::get_json;
use oleanderpass_stand_in::client::read_body;
use oleanderpass_stand_in::client::send;
use oleanderpass_stand_in::platform::Platform;
use oleanderpass_stand_in::platform::PlatformConfig;
use oleanderpass_stand_in::service::Service;
use oleanderpass_stand_in::service::ServiceConfig;

/// Guards against an execution that isn't recorded because its response was dropped: a test of
/// at-most-once execution would then pass although the request ran twice.
#[tokio::test]
async fn execution_with_a_dropped_response_is_recorded() {
    let service = Service::start(ServiceConfig::default()).unwrap();
    let drop_one = Request::post("/control/drop-answers?count=1");
    send(service.addr(), drop_one, Bytes::new()).await.unwrap();
    let call = || Request::post("/charge").header("oleanderpass-stream-id", "s1");
    assert!(send(service.addr(), call(), "{}").await.is_err());
    assert!(send(service.addr(), call(), "{}").await.is_ok());
    let ids: Vec<_> = service
        .executions()
        .into_iter()
        .map(|execution| execution.stream_id)
        .collect();
    assert_eq!(ids, ["s1", "s1"]);
}

async fn get_document(platform: &Platform, path: &str) -> (u16, String) {
    let resp = send(platform.addr(), Request::get(path), Bytes::new())
        .await
        .unwrap();
    let status = resp.status().as_u16();
    (
        status,
        String::from_utf8(read_body(resp).await.unwrap().to_vec()).unwrap(),
    )
}

/// Guards against a watch that misses a new document, and against a platform that serves the newest
/// document although it is set to a stale one, or any document during an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_ends_with_a_higher_generation() {
    let platform = Platform::start(PlatformConfig::default()).unwrap();
    let path = "/v1/config/environment";
    assert_eq!(get_document(&platform, path).await.0, 404);
    platform.set_document("generation: 1\n");
    let watch = async { get_document(&platform, &format!("{path}?after=1&wait_ms=20000")).await };
    let publish = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.set_document("generation: 2\n");
    };
    let (watched, ()) = tokio::join!(watch, publish);
    assert_eq!(watched, (200, "generation: 2\n".to_owned()));
    platform.set_stale(Some(1));
    assert_eq!(
        get_document(&platform, path).await,
        (200, "generation: 1\n".to_owned())
    );
    assert_eq!(
        get_document(&platform, &format!("{path}?after=1&wait_ms=1"))
            .await
            .0,
        304
    );
    platform.set_down(true);
    assert_eq!(get_document(&platform, path).await.0, 503);
    assert_eq!((platform.calls().config, platform.calls().refused), (4, 1));
}

/// Guards against an instance list that changes at once: tests of leaving servers need its lag.
#[tokio::test]
async fn instance_list_changes_after_its_lag() {
    let platform = Platform::start(PlatformConfig::default()).unwrap();
    let list_with = |id: &str| {
        let id = id.to_owned();
        let entry_instances = vec![EntryInstance {
            id,
            ..EntryInstance::default()
        }];
        InstanceList {
            entry_instances,
            ..InstanceList::default()
        }
    };
    platform.set_instances(list_with("a"));
    platform.set_list_lag(Duration::from_secs(3_600));
    platform.set_instances(list_with("b"));
    let lagging: InstanceList = get_json(platform.addr(), "/v1/instances").await.unwrap();
    assert_eq!(
        (lagging.entry_instances[0].id.as_str(), lagging.version),
        ("a", 1)
    );
    platform.set_list_lag(Duration::ZERO);
    let newest: InstanceList = get_json(platform.addr(), "/v1/instances").await.unwrap();
    assert_eq!(
        (newest.entry_instances[0].id.as_str(), newest.version),
        ("b", 2)
    );
}
