//! Read the platform's store and watch it for changes, or fetch changes from peers that do.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use http::StatusCode;
use oleanderpass_gateway::evacuation::PeerEvacuation;
use oleanderpass_gateway::memory::Share;
use oleanderpass_gateway::store::Content;
use oleanderpass_gateway::store::CopySource;
use oleanderpass_gateway::store::OmittedConfiguration;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader::MAX_LATE_CALLS;
use oleanderpass_gateway::store_reader::READER_CHECK_INTERVAL;
use oleanderpass_gateway::store_reader::Step;
use oleanderpass_gateway::store_reader::StoreReader;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_platform::announcement;
use oleanderpass_platform::configuration;
use oleanderpass_platform::store;
use oleanderpass_platform::store::Item;
use oleanderpass_platform::store::Subject;
use oleanderpass_proto::peer::Evacuation as RawEvacuation;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

use crate::body::RequestBody;
use crate::clock::sleep_until;
use crate::connection;
use crate::connection::Connection;
use crate::instance::SharedInstance;
use crate::peer;
use crate::receive;

/// How long a peer may be ahead before this instance's watch counts as silent. The store answers
/// all watches at about the same time.
const BEHIND_GRACE: Duration = Duration::from_millis(250);

/// The pause after a peer's copy could not be fetched.
const COPY_PAUSE: Duration = Duration::from_millis(100);

/// Keep the configuration and the list of backend servers up to date until the process ends: from
/// the store, or from peers if enough of them in this availability zone read it.
pub(crate) async fn run(instance: SharedInstance) {
    let mut reader = StoreReader::default();
    let mut calls = Calls::default();
    let mut connection = None;
    loop {
        let step = reader.next(instance.now(), &mut instance.gateway.borrow_mut());
        if reader.follows_peers() {
            connection = None;
            calls.clear();
        }
        let kind = match step {
            Step::Copy(source) => {
                copy_from_peer(&instance, source).await;
                continue;
            }
            Step::Wait(until) => {
                tokio::select! {
                    () = instance.store_behind.notified() => {}
                    () = sleep_until(until) => {}
                    (began, answered) = calls.late_answer() => {
                        reader.on_late_answer(began);
                        connection = apply(&instance, &mut reader, answered);
                        calls.clear();
                    }
                }
                continue;
            }
            Step::ReadAll => CallKind::ReadAll,
            Step::Watch {
                after,
                wait,
                timeout,
            } => CallKind::Watch {
                path: store::changes_path(after.revision, wait),
                timeout,
            },
        };
        let is_watch = matches!(kind, CallKind::Watch { .. });
        let transfer = calls.begin(&instance, kind, connection.take());
        let failure = tokio::select! {
            result = calls.answer() => match result {
                Ok((began, answered)) => {
                    reader.on_late_answer(began);
                    connection = apply(&instance, &mut reader, answered);
                    calls.clear();
                    continue;
                }
                Err(error) => format!("{error:#}"),
            },
            () = receive::stalled(&transfer) => {
                let name = if is_watch { "watch" } else { "read_all" };
                let counter = &instance.metrics.store_calls;
                counter.with_label_values(&[name, "late"]).inc();
                "no answer in time; waiting for it".to_owned()
            }
            () = until_renewed(&instance, &reader), if is_watch => {
                // The next watch needs a connection of its own.
                calls.clear();
                continue;
            }
            () = until_behind(&instance, &transfer), if is_watch => {
                "peers have read newer changes; the watch is silent".to_owned()
            }
        };
        calls.set_late();
        reader.on_failure(
            instance.now(),
            &mut instance.gateway.borrow_mut(),
            &failure,
            rand::rng().random(),
        );
    }
}

/// A kind of call to the store.
enum CallKind {
    /// The list of backend servers and the operators' items.
    ReadAll,
    /// A call for changes.
    Watch { path: String, timeout: Millis },
}

/// What the store answered, and the connection on which it did.
struct Answered {
    content: AnsweredContent,
    connection: Option<Connection>,
}

enum AnsweredContent {
    All {
        position: StorePosition,
        servers: Vec<StoreItem>,
        operator_items: Vec<StoreItem>,
    },
    Changes {
        position: StorePosition,
        items: Vec<StoreItem>,
    },
    HistoryLost,
}

/// The calls to the store in flight: the current one, and earlier ones that weren't answered in time.
#[derive(Default)]
struct Calls {
    tasks: JoinSet<(u64, Result<Answered>)>,
    /// The calls in the order in which they began.
    open: VecDeque<OpenCall>,
    /// The number of calls that have begun.
    begun: u64,
    /// The number of the current call.
    current: Option<u64>,
}

struct OpenCall {
    number: u64,
    began: Timestamp,
    task: AbortHandle,
}

impl Calls {
    /// Begin the current call. Return its progress.
    fn begin(
        &mut self,
        instance: &SharedInstance,
        kind: CallKind,
        connection: Option<Connection>,
    ) -> Rc<Cell<Transfer>> {
        let began = instance.now();
        let timeout = match &kind {
            CallKind::ReadAll => STALL_TIME,
            CallKind::Watch { timeout, .. } => *timeout,
        };
        let transfer = Rc::new(Cell::new(Transfer::new(began, timeout)));
        let number = self.begun;
        self.begun += 1;
        self.current = Some(number);
        let call = StoreCall {
            instance: instance.clone(),
            connection,
            transfer: transfer.clone(),
        };
        let task = self.tasks.spawn_local(async move {
            let answered = match kind {
                CallKind::ReadAll => call.read_all().await,
                CallKind::Watch { path, .. } => call.watch(&path).await,
            };
            (number, answered)
        });
        self.open.push_back(OpenCall {
            number,
            began,
            task,
        });
        transfer
    }

    /// Wait for the first answer, and return when its call began. Return an error if the current call
    /// fails.
    async fn answer(&mut self) -> Result<(Timestamp, Answered)> {
        loop {
            let Some(ended) = self.tasks.join_next().await else {
                return std::future::pending().await;
            };
            // A call that was ended by this instance has no result.
            let Ok((number, result)) = ended else {
                continue;
            };
            let index = self.open.iter().position(|call| call.number == number);
            let Some(call) = index.and_then(|index| self.open.remove(index)) else {
                continue;
            };
            match result {
                Ok(answered) => return Ok((call.began, answered)),
                Err(error) if self.current == Some(number) => return Err(error),
                Err(error) => {
                    tracing::debug!(error = format!("{error:#}"), "a late call failed");
                }
            }
        }
    }

    /// Wait for the answer to a late call while there is no current one.
    async fn late_answer(&mut self) -> (Timestamp, Answered) {
        loop {
            if let Ok(answered) = self.answer().await {
                return answered;
            }
        }
    }

    /// Let the current call go on beside the next one. End the oldest one if there are too many.
    fn set_late(&mut self) {
        self.current = None;
        while self.open.len() > MAX_LATE_CALLS {
            if let Some(oldest) = self.open.pop_front() {
                oldest.task.abort();
            }
        }
    }

    /// End all calls.
    fn clear(&mut self) {
        self.current = None;
        self.open.clear();
        self.tasks.abort_all();
    }
}

/// Apply an answer of the store. Return the connection for the next call.
fn apply(
    instance: &SharedInstance,
    reader: &mut StoreReader,
    answered: Answered,
) -> Option<Connection> {
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    match answered.content {
        AnsweredContent::All {
            position,
            servers,
            operator_items,
        } => reader.on_read_all(now, &mut gateway, position, servers, operator_items),
        AnsweredContent::Changes { position, items } => {
            reader.on_changes(now, &mut gateway, position, items);
        }
        AnsweredContent::HistoryLost => reader.on_history_lost(),
    }
    answered.connection
}

/// A call to the store, of one or more requests.
struct StoreCall {
    instance: SharedInstance,
    /// The open connection, if there is one.
    connection: Option<Connection>,
    transfer: Rc<Cell<Transfer>>,
}

impl StoreCall {
    /// Read the list of backend servers and the operators' items.
    async fn read_all(mut self) -> Result<Answered> {
        let mut servers = Vec::new();
        let mut first_position = None;
        let mut after: Option<SmolStr> = None;
        loop {
            let path = store::servers_path(after.as_deref());
            let answer = self.read("list", &path).await?;
            check_status(answer.status)?;
            let page = store::decode_page(&answer.body)?;
            // The pages together are not a snapshot. The watch starts at the position of the first
            // page, and so returns what changed while the others were read.
            let position = StorePosition::new(answer.era, page.revision);
            let first = first_position.get_or_insert(position);
            check_era(first.era, answer.era)?;
            after = page.items.last().map(|item| item.key.clone());
            let items = page.items.into_iter().map(|item| decode(answer.era, item));
            servers.extend(items.filter(|item| matches!(item.content, Content::Server(..))));
            if !page.more || after.is_none() {
                break;
            }
        }
        let position = first_position.unwrap_or_default();
        let operator_items = self.read_operator_items(position.era).await?;
        Ok(Answered {
            content: AnsweredContent::All {
                position,
                servers,
                operator_items,
            },
            connection: self.connection,
        })
    }

    /// Read the operators' items from the store: the configuration and the evacuations.
    async fn read_operator_items(&mut self, era: u64) -> Result<Vec<StoreItem>> {
        let mut items = Vec::new();
        let mut after: Option<SmolStr> = None;
        loop {
            let path = store::operator_items_path(after.as_deref());
            let answer = self.read("operator items", &path).await?;
            check_status(answer.status)?;
            check_era(era, answer.era)?;
            let page = store::decode_page(&answer.body)?;
            after = page.items.last().map(|item| item.key.clone());
            items.extend(page.items.into_iter().map(|item| decode(era, item)));
            if !page.more || after.is_none() {
                return Ok(items);
            }
        }
    }

    /// Read the changes after a position, or wait for the first one.
    async fn watch(mut self, path: &str) -> Result<Answered> {
        let answer = self.call("watch", path).await?;
        let content = if answer.status.as_u16() == store::HISTORY_LOST {
            AnsweredContent::HistoryLost
        } else {
            check_status(answer.status)?;
            let page = store::decode_page(&answer.body)?;
            let items = page.items.into_iter().map(|item| decode(answer.era, item));
            AnsweredContent::Changes {
                position: StorePosition::new(answer.era, page.revision),
                items: items.collect(),
            }
        };
        Ok(Answered {
            content,
            connection: self.connection,
        })
    }

    /// Send a request whose answer is to begin within [`STALL_TIME`].
    async fn read(&mut self, name: &str, path: &str) -> Result<Answer> {
        let now = self.instance.now();
        self.transfer.set(Transfer::new(now, STALL_TIME));
        self.call(name, path).await
    }

    /// Send a request to the store and count its result. Return the answer, however late it comes.
    async fn call(&mut self, name: &str, path: &str) -> Result<Answer> {
        let result = self.exchange(path).await;
        let result = result.wrap_err_with(|| name.to_owned());
        let label = match &result {
            Ok(answer) => answer.status.as_u16().to_string(),
            Err(_) => "failed".to_owned(),
        };
        let counter = &self.instance.metrics.store_calls;
        counter.with_label_values(&[name, &label]).inc();
        result
    }

    async fn exchange(&mut self, path: &str) -> Result<Answer> {
        let instance = &self.instance;
        let req = Request::get(path)
            .header(http::header::HOST, instance.settings.store_addr.to_string())
            .body(RequestBody::default())?;
        let connection = match &mut self.connection {
            Some(open) => open,
            None => {
                let opened = connection::open(&instance.memory, instance.settings.store_addr);
                self.connection.insert(opened.await?)
            }
        };
        let answer = connection.send(req).await?;
        let status = answer.status();
        let era = store::era(answer.headers()).unwrap_or(0);
        let body = answer.into_body();
        let (body, _share) = receive::document_of(&self.transfer, body, &instance.memory).await?;
        Ok(Answer {
            status,
            era,
            body,
            _share,
        })
    }
}

/// Return an error if the store was restored between two answers.
fn check_era(first: u64, second: u64) -> Result<()> {
    if first == second {
        Ok(())
    } else {
        bail!("the store was restored while it was read")
    }
}

/// Wait until the watch in flight has to be given up for a shorter one.
async fn until_renewed(instance: &SharedInstance, reader: &StoreReader) {
    while !reader.renews_watch(instance.now(), &instance.gateway.borrow()) {
        tokio::time::sleep(READER_CHECK_INTERVAL.into()).await;
    }
}

/// Wait until peers have been ahead of this instance for [`BEHIND_GRACE`] and the answer to its
/// watch has not begun. A large answer arrives later here than at peers with faster links.
async fn until_behind(instance: &SharedInstance, transfer: &Cell<Transfer>) {
    loop {
        instance.store_behind.notified().await;
        tokio::time::sleep(BEHIND_GRACE).await;
        if instance.gateway.borrow().is_behind(instance.now()) && !transfer.get().has_begun() {
            return;
        }
    }
}

/// Decode an item that was read in an era of the store. Log what is invalid.
pub(crate) fn decode(era: u64, item: Item) -> StoreItem {
    let content = match (Subject::of(&item.key), &item.value) {
        (Subject::Configuration, Some(value)) => match configuration::decode(value) {
            Ok(config) => Content::Configuration(Some(config)),
            Err(error) => {
                tracing::error!(
                    revision = item.revision,
                    error = format!("{error:#}"),
                    "a configuration is invalid"
                );
                Content::Configuration(None)
            }
        },
        (Subject::Configuration, None) => {
            tracing::error!(
                revision = item.revision,
                "the configuration was removed from the store; the last one stays in force"
            );
            Content::Configuration(None)
        }
        (Subject::Server(id), value) => {
            let entry = value.as_ref().and_then(|value| decode_server(&id, value));
            Content::Server(id, entry)
        }
        (Subject::Evacuation(zone), _) => Content::Evacuation(zone),
        (Subject::Other, _) => {
            if store::is_evacuation(&item.key) {
                tracing::warn!(
                    key = %item.key,
                    revision = item.revision,
                    "an evacuation names no availability zone"
                );
            }
            Content::Other
        }
    };
    StoreItem {
        key: item.key,
        position: StorePosition::new(era, item.revision),
        value: item.value,
        content,
    }
}

/// Decode the entry of a backend server. Return `None` if it is invalid.
fn decode_server(
    id: &BackendServerId,
    value: &[u8],
) -> Option<oleanderpass_gateway::backend::Announcement> {
    match announcement::decode(id, value) {
        Ok(announcement) => Some(announcement),
        Err(error) => {
            tracing::warn!(
                server = %id,
                error = format!("{error:#}"),
                "the entry of a backend server is invalid"
            );
            None
        }
    }
}

/// Decode an evacuation that a peer knows, whose answer took `elapsed`. Return `None` if its key
/// names no availability zone.
fn decode_evacuation(raw: RawEvacuation, elapsed: Millis) -> Option<PeerEvacuation> {
    let Subject::Evacuation(zone) = Subject::of(&raw.key) else {
        tracing::warn!(
            key = raw.key,
            "a peer's evacuation names no availability zone"
        );
        return None;
    };
    let removal = StorePosition::new(raw.revoked_era, raw.revoked_revision);
    Some(PeerEvacuation {
        zone,
        key: raw.key.into(),
        write: StorePosition::new(raw.era, raw.revision),
        removal: raw.revoked.then_some(removal),
        age: raw.age_ms.map(|age| Millis::new(age) + elapsed),
        witnessed: raw.witnessed,
        earlier: raw.earlier_writes,
    })
}

/// Fetch and apply a peer's copy of the store. Pause if that fails.
async fn copy_from_peer(instance: &SharedInstance, source: CopySource) {
    let began = instance.now();
    let transfer = Cell::new(Transfer::new(began, STALL_TIME));
    let fetched = peer::fetch_copy(&instance.memory, &transfer, source.addr, source.after).await;
    let result = if fetched.is_ok() { "taken" } else { "failed" };
    let counter = &instance.metrics.peer_copies;
    counter.with_label_values(&[result]).inc();
    let transfer = transfer.get();
    let copy = match fetched {
        Ok(copy) => copy,
        Err(error) => {
            tracing::info!(
                error = format!("{error:#}"),
                received_bytes = transfer.received().get(),
                elapsed_ms = transfer.elapsed(instance.now()).get(),
                "could not fetch a copy of the store from a peer"
            );
            tokio::time::sleep(COPY_PAUSE).await;
            return;
        }
    };
    let position = StorePosition::new(copy.era, copy.revision);
    let omitted = copy.omitted.map(|raw| OmittedConfiguration {
        position: StorePosition::new(raw.era, raw.revision),
        version: raw.version,
    });
    let evacuations = copy.evacuations.map(|evacuations| {
        let entries = evacuations.entries.into_iter();
        let elapsed = instance.now().since(began);
        let entries = entries.filter_map(|raw| decode_evacuation(raw, elapsed));
        entries.collect::<Vec<PeerEvacuation>>()
    });
    let items = copy.items.into_iter().map(|raw| {
        let item = Item {
            key: raw.key.into(),
            revision: raw.revision,
            value: (!raw.removed).then(|| raw.value.into()),
        };
        decode(raw.era, item)
    });
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    if let Some(evacuations) = evacuations {
        gateway.on_peer_evacuations(now, position, &evacuations);
    }
    if let Some(omitted) = omitted {
        gateway.on_omitted_configuration(omitted);
    }
    gateway.on_peer_copy(now, position, copy.partial, items.collect());
    drop(gateway);
    instance.configuration_behind.notify_one();
    tracing::info!(
        peer = %source.addr,
        store_era = position.era,
        store_revision = position.revision,
        omitted_version = omitted.map(|omitted| omitted.version),
        received_bytes = transfer.received().get(),
        elapsed_ms = transfer.elapsed(now).get(),
        "took a peer's copy of the store"
    );
}

/// An answer of the store.
struct Answer {
    status: StatusCode,
    /// The era of the store's history that it belongs to, or 0 if it names none.
    era: u64,
    body: Bytes,
    /// The memory of the body and of what is decoded from it.
    _share: Share,
}

/// Return an error unless the status is a success.
fn check_status(status: StatusCode) -> Result<()> {
    if status.is_success() {
        Ok(())
    } else {
        bail!("the store answered {status}")
    }
}
